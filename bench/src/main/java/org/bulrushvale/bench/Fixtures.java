package org.bulrushvale.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.config.FailureDomain;
import org.bulrushvale.decision.config.Pipeline;
import org.bulrushvale.decision.config.PublishedConfig;
import org.bulrushvale.decision.config.Stage;
import org.bulrushvale.decision.config.WorkClass;
import org.bulrushvale.decision.config.Workspace;
import org.bulrushvale.decision.membership.Vm;
import org.bulrushvale.decision.membership.VmList;

/**
 * Fleets of a given size for benchmarks and capacity slopes.
 *
 * <p>Invariant: equal sizes give equal fleets. Thread safety: stateless.
 */
final class Fixtures {
    /** Backend servers and entries are spread over this many failure domains. */
    static final int DOMAINS = 8;

    private static final int PIPELINES = 16;
    private static final int CLASSES = 16;
    private static final int SLOTS = 64;
    private static final int BEARABLE = 2;
    private static final int FIRST_PORT = 10_000;
    private static final List<String> STAGES = List.of("encode", "retrieve", "rerank", "generate");

    private Fixtures() {}

    static PublishedConfig config(long revision, int backends, int workspaces) {
        PublishedConfig.Builder builder = PublishedConfig.builder(revision);
        for (int i = 0; i < DOMAINS; i++) {
            builder.addDomain(new FailureDomain("domain-" + i, "region-" + i % 3, true));
        }
        for (int i = 0; i < PIPELINES; i++) {
            builder.addPipeline(pipeline("pipeline-" + i));
        }
        for (int i = 0; i < CLASSES; i++) {
            builder.addClass(workClass(i));
        }
        servers(backends).forEach(builder::addBackend);
        for (int i = 0; i < workspaces; i++) {
            String digest = String.format(Locale.ROOT, "%064x", i);
            builder.addWorkspace(new Workspace("workspace-" + i, digest, 1.0));
        }
        return builder.build();
    }

    private static WorkClass workClass(int index) {
        return new WorkClass(
                "class-" + index, 0.95, Duration.ofSeconds(5), 1.0, "pipeline-" + index, true);
    }

    private static Pipeline pipeline(String name) {
        List<Stage> stages = new ArrayList<>();
        for (String stage : STAGES) {
            stages.add(new Stage(stage, stage, true, false));
        }
        return new Pipeline(name, stages);
    }

    static List<BackendServer> servers(int count) {
        List<BackendServer> servers = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            servers.add(
                    new BackendServer(
                            "server-" + i,
                            STAGES.get(i % STAGES.size()),
                            "127.0.0.1",
                            FIRST_PORT + i,
                            "domain-" + i % DOMAINS,
                            SLOTS,
                            BEARABLE,
                            false));
        }
        return servers;
    }

    static VmList vms(long version, int count) {
        List<Vm> vms = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            String domain = "domain-" + i % DOMAINS;
            vms.add(
                    new Vm(
                            vmName(i),
                            "127.0.0.1",
                            FIRST_PORT + i,
                            domain,
                            "region-" + i % 3,
                            false));
        }
        return VmList.of(version, vms);
    }

    static String vmName(int index) {
        return "entry-" + index;
    }
}
