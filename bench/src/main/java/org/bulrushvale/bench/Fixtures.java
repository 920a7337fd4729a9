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
 * Creates configurations and VM lists of a given size for benchmarks and capacity measurements.
 *
 * <p>Invariant: equal arguments give equal results. Thread safety: stateless.
 */
final class Fixtures {
    /** Number of failure domains over which backend servers and entries are spread. */
    static final int DOMAIN_COUNT = 8;

    private static final int PIPELINE_COUNT = 16;
    private static final int CLASS_COUNT = 16;
    private static final int SLOTS_PER_SERVER = 64;
    private static final int COLD_CONCURRENCY_PER_SERVER = 2;
    private static final int FIRST_PORT = 10_000;
    private static final List<String> STAGE_NAMES =
            List.of("encode", "retrieve", "rerank", "generate");

    private Fixtures() {}

    static PublishedConfig config(long revision, int backends, int workspaces) {
        PublishedConfig.Builder builder = PublishedConfig.builder(revision);
        for (int i = 0; i < DOMAIN_COUNT; i++) {
            builder.addDomain(new FailureDomain("domain-" + i, "region-" + i % 3, true));
        }
        for (int i = 0; i < PIPELINE_COUNT; i++) {
            builder.addPipeline(pipeline("pipeline-" + i));
        }
        for (int i = 0; i < CLASS_COUNT; i++) {
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
        for (String stage : STAGE_NAMES) {
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
                            STAGE_NAMES.get(i % STAGE_NAMES.size()),
                            "127.0.0.1",
                            FIRST_PORT + i,
                            "domain-" + i % DOMAIN_COUNT,
                            SLOTS_PER_SERVER,
                            COLD_CONCURRENCY_PER_SERVER,
                            false));
        }
        return servers;
    }

    static VmList vmList(long version, int count) {
        List<Vm> vms = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            String domain = "domain-" + i % DOMAIN_COUNT;
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
