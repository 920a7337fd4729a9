package org.bulrushvale.systemtests;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

/**
 * Guards against decision code that uses sockets, threads or the system clock, against inner
 * modules that depend on outer ones, and against cycles between the packages of the decision code.
 */
public class ArchitectureTest {
    private final JavaClasses mClasses =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("org.bulrushvale");

    @Test
    public void decisions_use_no_socket_and_no_thread() {
        noClasses()
                .that()
                .resideInAPackage("org.bulrushvale.decision..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.net..", "java.nio.channels..", "io.undertow..", "org.xnio..")
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(Thread.class, java.util.concurrent.Executor.class)
                .check(mClasses);
    }

    @Test
    public void decisions_take_time_from_the_clock_only() {
        noClasses()
                .that()
                .resideInAPackage("org.bulrushvale.decision..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(java.time.Instant.class, "now")
                .orShould()
                .callMethod(org.bulrushvale.kernel.time.Clock.class, "system")
                .check(mClasses);
    }

    @Test
    public void modules_depend_inwards_only() {
        noClasses()
                .that()
                .resideInAPackage("org.bulrushvale.kernel..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.bulrushvale.decision..",
                        "org.bulrushvale.adapters..",
                        "org.bulrushvale.daemon..")
                .check(mClasses);
        noClasses()
                .that()
                .resideInAPackage("org.bulrushvale.decision..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.bulrushvale.adapters..", "org.bulrushvale.daemon..")
                .check(mClasses);
        noClasses()
                .that()
                .resideInAPackage("org.bulrushvale.adapters..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.bulrushvale.daemon..")
                .check(mClasses);
    }

    @Test
    public void decision_features_have_no_cycles() {
        slices().matching("org.bulrushvale.decision.(*)..")
                .should()
                .beFreeOfCycles()
                .check(mClasses);
    }
}
