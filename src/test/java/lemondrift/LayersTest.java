package lemondrift;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks that dependencies between packages point in one direction: adapters use core packages, and
 * core packages use the model, no adapter and no I/O.
 */
class LayersTest {
    private static final String[] CORE_PACKAGES = {
        "lemondrift.model..",
        "lemondrift.balancer..",
        "lemondrift.connection..",
        "lemondrift.gossip..",
        "lemondrift.recovery..",
        "lemondrift.shadow..",
        "lemondrift.metrics..",
        "lemondrift.buffer..",
        "lemondrift.hotrestart..",
        "lemondrift.lab.simulation.."
    };

    /**
     * The other proxy packages that each proxy package may use. The lifecycle package and the
     * server, which are not listed, may use all.
     */
    private static final Map<String, String> ALLOWED_PROXY_DEPENDENCIES =
            Map.ofEntries(
                    Map.entry("time", ""),
                    Map.entry("http", ""),
                    Map.entry("logging", ""),
                    Map.entry("admin", ""),
                    Map.entry("health", "time"),
                    Map.entry("config", "http"),
                    Map.entry("recovery", "config"),
                    Map.entry("events", "http"),
                    Map.entry("client", "config events health http logging time"),
                    Map.entry("backend", "config events health http time"),
                    // Calls to discovery are made over the same connection pools as calls to
                    // backends.
                    Map.entry("discovery", "backend config events time"),
                    Map.entry("gossip", "config discovery events health"),
                    Map.entry("loop", "config discovery events gossip health recovery time"));

    private final JavaClasses productionClasses =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("lemondrift");

    @Test
    void corePackagesUseNoAdapterIoThreadOrClock() {
        noClasses()
                .that()
                .resideInAnyPackage(CORE_PACKAGES)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.net..",
                        "java.nio.channels..",
                        "java.nio.file..",
                        "java.util.concurrent..",
                        "java.time..",
                        "java.sql..",
                        "org.slf4j..",
                        "org.xnio..",
                        "io.undertow..",
                        "com.google..",
                        "lemondrift.proxy..",
                        "lemondrift.simulator..",
                        "lemondrift.settings..")
                .check(productionClasses);
        noClasses()
                .that()
                .resideInAnyPackage(CORE_PACKAGES)
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(productionClasses);
    }

    @Test
    void connectionAndBalancerDoNotDependOnEachOther() {
        noClasses()
                .that()
                .resideInAPackage("lemondrift.connection..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("lemondrift.balancer..")
                .check(productionClasses);
        noClasses()
                .that()
                .resideInAPackage("lemondrift.balancer..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("lemondrift.connection..")
                .check(productionClasses);
    }

    @Test
    void proxyPackagesUseOnlyAllowedDependencies() {
        ALLOWED_PROXY_DEPENDENCIES.forEach(
                (packageName, allowedPackages) -> {
                    String[] forbiddenPackages =
                            Stream.concat(
                                            ALLOWED_PROXY_DEPENDENCIES.keySet().stream(),
                                            Stream.of("lifecycle"))
                                    .filter(
                                            each ->
                                                    !each.equals(packageName)
                                                            && !Stream.of(
                                                                            allowedPackages.split(
                                                                                    " "))
                                                                    .toList()
                                                                    .contains(each))
                                    .map(each -> "lemondrift.proxy." + each + "..")
                                    .toArray(String[]::new);
                    noClasses()
                            .that()
                            .resideInAPackage("lemondrift.proxy." + packageName + "..")
                            .should()
                            .dependOnClassesThat()
                            .resideInAnyPackage(forbiddenPackages)
                            .orShould()
                            .dependOnClassesThat()
                            .resideInAPackage("lemondrift.proxy")
                            .check(productionClasses);
                });
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("lemondrift.(*)..").should().beFreeOfCycles().check(productionClasses);
    }
}
