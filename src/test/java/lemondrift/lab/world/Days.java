package lemondrift.lab.world;

import java.util.List;
import lemondrift.lab.Module;
import lemondrift.model.Effect;
import lemondrift.model.Group;
import lemondrift.model.ServiceGrade;
import lemondrift.model.Settings;

/** Small days to play. */
final class Days {
    private static final List<ServiceGrade> GRADES = List.of(
            new ServiceGrade(1, 0, 0.5, 1.2, Effect.PURE, Group.ALL, 0),
            new ServiceGrade(3, 0, 0.5, 1.2, Effect.RECEIPTED, Group.LOCATION, 0.6),
            new ServiceGrade(9, 0, 0.5, 1.2, Effect.EFFECTFUL, Group.ALL, 0));

    private Days() {}

    static Settings settings(int proxies) {
        return new Settings(proxies, 2, 0, false, GRADES, new double[0], 1, false,
                new Settings.Reports(true, 0, 1, false, -1), new Settings.Limits(true, true, 4, 0.5),
                new Settings.Rules(0.3, 6, 3, 2, 10), new Settings.Charges(0.01, 0.002));
    }

    /** Some 0.65 of what the backends can do, for twenty seconds. */
    static Day of(int proxies, int backends, long seed, Trouble... troubles) {
        double rate = 0.65 * Math.max(1, backends) * 2 / 0.05;
        return new Day(settings(proxies), proxies, backends, 2, rate, 0.05, 0.5, 3, 0.0005, 0.4, 2, 20, seed,
                List.of(troubles));
    }

    static Figures play(Day day) {
        return new World(day, p -> new Module(day.settings(), day.seed() * 1000 + p)).play();
    }
}
