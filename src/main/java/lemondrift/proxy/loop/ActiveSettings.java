package lemondrift.proxy.loop;

import java.util.List;
import java.util.Set;
import lemondrift.balancer.LoadBalancer;
import lemondrift.model.Settings;
import lemondrift.proxy.events.ProxyActions;
import lemondrift.settings.RequestClassIndex;

/**
 * Holds the settings in force. A reload passes the new settings to the balancer, the shadow and the
 * I/O thread, and clears the shed thresholds. Decision thread only.
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
     * Indexes of the request classes of the open requests on the I/O thread when it applied the
     * last reload.
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

    /**
     * Divides the resources that the settings grant this proxy among this many processes, 1 or
     * more.
     */
    void setProcessCount(int processCount) {
        this.processCount = processCount;
        balancer.settingsChanged(settings.dividedAmong(processCount), List.of());
    }

    /**
     * Replaces the settings, and passes the new ones to the balancer, the shadow and the I/O
     * thread.
     *
     * @param classNames the names of the new request classes, in the order of the settings
     * @param shadowSettings the settings of the shadow; null if the new configuration has none
     */
    void reload(Settings newSettings, List<String> classNames, Settings shadowSettings) {
        requestClasses =
                requestClasses.reloaded(classNames, newSettings.requestClasses(), this::isInUse);
        reloadsNotApplied++;
        // Guards against shedding requests by the threshold of the class that had the index before.
        shedThresholds.clear();
        settings = settings.reloaded(newSettings, requestClasses.classesByIndex());
        balancer.settingsChanged(settings.dividedAmong(processCount), requestClasses.reassigned());
        shadow.settingsChanged(shadowSettings, requestClasses);
        actions.settingsChanged(requestClasses, settings);
    }

    /**
     * Returns whether a request of the class with this index may still exist. Guards against
     * assigning an index to another class while a request of the former class is on its way from
     * the I/O thread.
     */
    private boolean isInUse(int requestClass) {
        return reloadsNotApplied > 0
                || classesInUse.contains(requestClass)
                || executor.hasOpenRequestOf(requestClass);
    }

    /**
     * Records that the I/O thread has applied a reload.
     *
     * @param classesInUse indexes of the request classes of its open requests
     */
    void reloadApplied(Set<Integer> classesInUse) {
        reloadsNotApplied--;
        this.classesInUse = classesInUse;
    }
}
