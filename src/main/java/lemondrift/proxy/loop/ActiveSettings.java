package lemondrift.proxy.loop;

import java.util.List;
import java.util.Set;
import lemondrift.balancer.LoadBalancer;
import lemondrift.model.Settings;
import lemondrift.proxy.events.ProxyActions;
import lemondrift.settings.RequestClassIndex;

/**
 * The settings in force, and what a reload of them changes: the balancer, the shadow, the shed
 * thresholds and the I/O thread. Decisions thread only.
 */
final class ActiveSettings {
    private final LoadBalancer balancer;
    private final ProxyActions actions;
    private final DecisionExecutor executor;
    private final ShedThresholds shedThresholds;
    private final ShadowRunner shadow;
    private RequestClassIndex requestClasses;
    private Settings settings;
    private int processCount = 1;

    /** Reloads that the I/O thread has not applied yet. */
    private int reloadsNotApplied;

    /**
     * Indexes of the classes that requests had on the I/O thread when it applied the last reload.
     */
    private Set<Integer> classesInUse = Set.of();

    ActiveSettings(
            RequestClassIndex requestClasses,
            Settings settings,
            LoadBalancer balancer,
            ProxyActions actions,
            DecisionExecutor executor,
            ShedThresholds shedThresholds,
            ShadowRunner shadow) {
        this.requestClasses = requestClasses;
        this.settings = settings;
        this.balancer = balancer;
        this.actions = actions;
        this.executor = executor;
        this.shedThresholds = shedThresholds;
        this.shadow = shadow;
    }

    Settings settings() {
        return settings;
    }

    /** So many processes share what the settings grant this proxy. */
    void setProcessCount(int processCount) {
        this.processCount = processCount;
        balancer.settingsChanged(settings.dividedAmong(processCount), List.of());
    }

    /**
     * Replaces the settings.
     *
     * @param classNames the names of the new request classes, in the order of the settings
     * @param shadowSettings null where the new configuration has none
     */
    void reload(Settings newSettings, List<String> classNames, Settings shadowSettings) {
        requestClasses =
                requestClasses.reloaded(classNames, newSettings.requestClasses(), this::isInUse);
        reloadsNotApplied++;
        // Guards against a threshold of the class that had the index before.
        shedThresholds.clear();
        settings = settings.reloaded(newSettings, requestClasses.classesByIndex());
        balancer.settingsChanged(settings.dividedAmong(processCount), requestClasses.reassigned());
        shadow.settingsChanged(shadowSettings, requestClasses);
        actions.settingsChanged(requestClasses, settings);
    }

    /**
     * Guards against an index that passes to another class while a request of the former one is on
     * its way here.
     */
    private boolean isInUse(int requestClass) {
        return reloadsNotApplied > 0
                || classesInUse.contains(requestClass)
                || executor.hasOpenRequestOf(requestClass);
    }

    /** The I/O thread has applied a reload and has requests of these classes. */
    void reloadApplied(Set<Integer> classesInUse) {
        reloadsNotApplied--;
        this.classesInUse = classesInUse;
    }
}
