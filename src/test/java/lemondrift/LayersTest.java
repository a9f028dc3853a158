package lemondrift;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Arrows between packages point down: adapters use cores, cores use the model alone and do no I/O. */
class LayersTest {
    private static final String[] CORES = {"lemondrift.model..", "lemondrift.balancer..", "lemondrift.connection..",
        "lemondrift.gossip..", "lemondrift.shadow..", "lemondrift.metrics..", "lemondrift.buffer..",
        "lemondrift.hotrestart..",
        "lemondrift.lab.simulation.."};

    private final JavaClasses all = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("lemondrift");

    @Test
    void coresUseNoAdapterAndNothingThatWaitsOrTellsTheTime() {
        noClasses().that().resideInAnyPackage(CORES).should().dependOnClassesThat()
                .resideInAnyPackage("java.io..", "java.net..", "java.nio.channels..", "java.nio.file..",
                        "java.util.concurrent..",
                        "java.time..", "java.sql..", "org.slf4j..", "org.xnio..", "io.undertow..",
                        "com.google..", "lemondrift.proxy..", "lemondrift.simulator..", "lemondrift.settings..")
                .check(all);
        noClasses().that().resideInAnyPackage(CORES).should().callMethod(System.class, "nanoTime")
                .orShould().callMethod(System.class, "currentTimeMillis")
                .orShould().dependOnClassesThat().areAssignableTo(Thread.class).check(all);
    }

    @Test
    void coresDoNotUseEachOther() {
        noClasses().that().resideInAPackage("lemondrift.connection..").should().dependOnClassesThat()
                .resideInAnyPackage("lemondrift.balancer..").check(all);
        noClasses().that().resideInAPackage("lemondrift.balancer..").should().dependOnClassesThat()
                .resideInAnyPackage("lemondrift.connection..").check(all);
    }

    @Test
    void thereIsNoCircle() {
        slices().matching("lemondrift.(*)..").should().beFreeOfCycles().check(all);
    }
}
