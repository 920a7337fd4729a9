package org.bulrushvale.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.decision.forward.BackendDirectory;
import org.bulrushvale.decision.forward.MemberTable;
import org.bulrushvale.decision.forward.PublishedBackend;
import org.bulrushvale.decision.forward.ServiceVersions;
import org.bulrushvale.decision.forward.StreamOrigin;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.time.ManualClock;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against an origin of a stream that is guessed, that is lost with the entry that recorded
 * it, or whose exchange grows with the fleet.
 */
public class StreamOriginExchangeTest {
    private static final String SERVICE = "pool";
    private static final StreamOrigin OLD = new StreamOrigin(SERVICE, "1");
    private static final StreamOrigin NEW = new StreamOrigin(SERVICE, "2");
    private static final StreamOrigin ELSEWHERE = new StreamOrigin("chat", "1");
    private static final int FLEET = 333;
    private static final long STREAM = 7;
    private static final Duration MAX_AGE = Duration.ofSeconds(10);

    private ManualClock mClock;
    private EventLoop mLoop;
    private MemberTable mMembers;
    private BackendDirectory mDirectory;
    private StreamOriginExchange mExchange;
    private final List<Copy> mCopies = new ArrayList<>();
    private final Set<String> mFailing = new HashSet<>();
    private final Set<String> mAsked = new HashSet<>();
    private List<PeerMessage.StreamOriginAnswer> mAnswers;

    private record Copy(String holder, Set<Long> streams, Set<StreamOrigin> origins) {}

    @BeforeMethod
    public void start() {
        mClock = ManualClock.startingAt(Instant.EPOCH);
        mLoop = EventLoop.start("test", 1_024);
        mMembers = new MemberTable(mClock, new SplittableRandom(1), "self", Set.of());
        mDirectory = new BackendDirectory(mClock);
        mExchange = new StreamOriginExchange(mLoop, mClock, mMembers, mDirectory);
        mCopies.clear();
        mFailing.clear();
        mAsked.clear();
        mAnswers = List.of();
        mExchange.start(this::request, () -> true);
    }

    @AfterMethod
    public void stop() {
        mLoop.close();
    }

    private void request(
            String member,
            PeerMessage message,
            Duration timeout,
            Consumer<@Nullable PeerMessage> onAnswer) {
        if (message instanceof PeerMessage.StreamOriginCopies copies) {
            Set<Long> streams = new HashSet<>();
            Set<StreamOrigin> origins = new HashSet<>();
            for (PeerMessage.OriginGroup group : copies.groups()) {
                streams.addAll(group.streams());
                origins.add(group.origin());
            }
            mCopies.add(new Copy(member, streams, origins));
            boolean fails = mFailing.contains(member);
            onAnswer.accept(fails ? null : new PeerMessage.StreamOriginCopies(List.of()));
        } else {
            int index = mAsked.size();
            mAsked.add(member);
            onAnswer.accept(index < mAnswers.size() ? mAnswers.get(index) : null);
        }
    }

    private void addMembers(int count) {
        for (int i = 0; i < count; i++) {
            mMembers.recordHeard("vm-" + i, false, Duration.ZERO);
        }
    }

    private void publish(String id, String version) {
        mDirectory.put(
                new PublishedBackend(
                        id, SERVICE, id, 80, version, "a", 8, false, 1, 1, Duration.ZERO));
    }

    private void runOnLoop(Runnable task) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mLoop.execute(
                () -> {
                    task.run();
                    done.complete(null);
                });
        done.get(5, TimeUnit.SECONDS);
    }

    private void await(BooleanSupplier condition) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        CompletableFuture<Boolean> holds = new CompletableFuture<>();
        while (!holds.getNow(false)) {
            assertThat(System.nanoTime() - deadline).as("nanoseconds after the limit").isNegative();
            CompletableFuture<Boolean> next = new CompletableFuture<>();
            mLoop.execute(() -> next.complete(condition.getAsBoolean()));
            holds = next;
            next.get(5, TimeUnit.SECONDS);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private StreamBinding find() throws Exception {
        CompletableFuture<StreamBinding> found = new CompletableFuture<>();
        mLoop.execute(() -> mExchange.find(STREAM, SERVICE, MAX_AGE, found::complete));
        return found.get(5, TimeUnit.SECONDS);
    }

    @Test
    public void origins_are_copied_to_three_entries_of_a_large_fleet() throws Exception {
        // given, when
        runOnLoop(
                () -> {
                    addMembers(FLEET);
                    publish("s", "1");
                    for (long stream = 0; stream < 100; stream++) {
                        mExchange.recordEvent(stream, OLD);
                    }
                });
        // then
        await(() -> mCopies.size() >= StreamOriginCopier.HOLDERS);
        runOnLoop(
                () -> {
                    assertThat(mCopies).hasSize(StreamOriginCopier.HOLDERS);
                    assertThat(mCopies).allMatch(copy -> copy.streams().size() == 100);
                    assertThat(mCopies.stream().map(Copy::holder).distinct())
                            .hasSize(StreamOriginCopier.HOLDERS);
                });
    }

    @Test
    public void an_entry_that_does_not_confirm_a_copy_is_replaced() throws Exception {
        runOnLoop(
                () -> {
                    addMembers(8);
                    publish("s", "1");
                    mExchange.recordEvent(STREAM, OLD);
                });
        await(() -> mCopies.size() >= StreamOriginCopier.HOLDERS);
        // when
        String lost = mCopies.get(0).holder();
        runOnLoop(
                () -> {
                    mFailing.add(lost);
                    mCopies.clear();
                    mExchange.recordEvent(STREAM + 1, OLD);
                });
        // then another entry has the earlier stream, too
        await(
                () ->
                        mCopies.stream()
                                .anyMatch(
                                        copy ->
                                                !copy.holder().equals(lost)
                                                        && copy.streams().contains(STREAM)));
    }

    @Test
    public void origins_are_copied_only_once_a_second_version_is_known() throws Exception {
        // given a service that has had one version for certain
        runOnLoop(
                () -> {
                    publish("s", "1");
                    mClock.advance(ServiceVersions.STREAM_LIFETIME);
                    addMembers(8);
                    mExchange.recordEvent(STREAM, OLD);
                });
        TimeUnit.MILLISECONDS.sleep(400);
        runOnLoop(() -> assertThat(mCopies).isEmpty());
        // when
        runOnLoop(() -> publish("t", "2"));
        // then
        await(() -> mCopies.size() >= StreamOriginCopier.HOLDERS);
        runOnLoop(
                () -> assertThat(mCopies).allMatch(copy -> copy.streams().equals(Set.of(STREAM))));
    }

    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            // What the other entries answer, and what the origin must be.
            {List.of(answer(List.of(), true, "1"), answer(List.of(group(NEW)), false, "1")), NEW},
            {List.of(answer(List.of(), true, "1"), answer(List.of(), false, "1")), OLD},
            {List.of(answer(List.of(), false, "1"), answer(List.of(), false, "1")), null},
            {List.of(answer(List.of(), true, "1"), answer(List.of(), false, "1", "2")), null},
            {List.of(), null},
        };
    }

    @DataProvider
    public Object[][] answersAboutMovedStreams() {
        PeerMessage.StreamOriginAnswer nothing = answer(List.of(), false, "1", "2");
        return new Object[][] {
            // What the other entries answer about a stream that is known at an earlier service.
            {List.of(nothing, answer(List.of(group(NEW)), false, "1")), 0, StreamBinding.to(NEW)},
            {
                List.of(answer(List.of(group(ELSEWHERE), group(OLD)), false)),
                2,
                StreamBinding.to(OLD)
            },
            {List.of(nothing, nothing), 0, StreamBinding.NONE},
            // Two entries are missing, but the third holder of an origin would have answered.
            {List.of(nothing, nothing), 2, StreamBinding.NONE},
            {List.of(nothing), StreamOriginCopier.HOLDERS, StreamBinding.UNKNOWN},
        };
    }

    @Test(dataProvider = "answersAboutMovedStreams")
    public void an_earlier_service_does_not_hide_the_origin_at_the_present_one(
            List<PeerMessage.StreamOriginAnswer> answers, int missing, StreamBinding expected)
            throws Exception {
        runOnLoop(
                () -> {
                    addMembers(answers.size() + missing);
                    publish("s", "1");
                    publish("t", "2");
                    mExchange.receive(
                            new PeerMessage.StreamOriginCopies(List.of(group(ELSEWHERE))));
                    mAnswers = answers;
                });
        assertThat(find()).isEqualTo(expected);
    }

    @Test
    public void origins_at_all_services_are_copied_and_reported_in_whatever_order_they_came()
            throws Exception {
        // given a stream that this entry serves, known at another service from a later copy
        runOnLoop(
                () -> {
                    addMembers(8);
                    publish("s", "1");
                    mExchange.recordEvent(STREAM, OLD);
                    mExchange.receive(
                            new PeerMessage.StreamOriginCopies(List.of(group(ELSEWHERE))));
                    mExchange.receive(new PeerMessage.StreamOriginCopies(List.of(group(NEW))));
                });
        await(() -> mCopies.size() >= StreamOriginCopier.HOLDERS);
        // then the first origin at a service stays
        runOnLoop(
                () -> {
                    assertThat(mCopies).allMatch(copy -> copy.origins().size() == 2);
                    PeerMessage answer =
                            mExchange.answer(
                                    new PeerMessage.StreamOriginQuery(SERVICE, List.of(STREAM)));
                    assertThat(((PeerMessage.StreamOriginAnswer) answer).found())
                            .containsExactlyInAnyOrder(group(OLD), group(ELSEWHERE));
                });
    }

    private static PeerMessage.OriginGroup group(StreamOrigin origin) {
        return new PeerMessage.OriginGroup(origin, List.of(STREAM));
    }

    private static PeerMessage.StreamOriginAnswer answer(
            List<PeerMessage.OriginGroup> found, boolean complete, String... versions) {
        return new PeerMessage.StreamOriginAnswer(found, List.of(versions), complete);
    }

    @Test(dataProvider = "answers")
    public void an_origin_is_never_guessed(
            List<PeerMessage.StreamOriginAnswer> answers, @Nullable StreamOrigin origin)
            throws Exception {
        // given an entry that has just started and knows one version
        runOnLoop(
                () -> {
                    addMembers(2);
                    publish("s", "1");
                    mAnswers = answers;
                });
        // when, then
        StreamBinding expected = origin == null ? StreamBinding.UNKNOWN : StreamBinding.to(origin);
        assertThat(find()).isEqualTo(expected);
        assertThat(mAsked).hasSize(2);
    }

    @Test
    public void an_entry_that_has_run_for_long_asks_nobody_while_it_knows_one_version()
            throws Exception {
        // given
        runOnLoop(
                () -> {
                    publish("s", "1");
                    mClock.advance(ServiceVersions.STREAM_LIFETIME);
                    addMembers(2);
                });
        // when, then
        assertThat(find().origin()).contains(OLD);
        assertThat(mAsked).isEmpty();
    }

    @Test
    public void a_version_counts_after_its_servers_have_left() throws Exception {
        // given
        runOnLoop(
                () -> {
                    publish("s", "1");
                    publish("t", "2");
                    mClock.advance(ServiceVersions.STREAM_LIFETIME);
                    mDirectory.remove("t");
                    mClock.advance(ServiceVersions.STREAM_LIFETIME.minusMillis(1));
                });
        // when, then
        assertThat(find()).isEqualTo(StreamBinding.UNKNOWN);
        runOnLoop(() -> mClock.advance(Duration.ofMillis(1)));
        assertThat(find().origin()).contains(OLD);
    }
}
