package lemondrift.serve;

import com.google.gson.JsonElement;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import lemondrift.recovery.Pace;
import lemondrift.serve.recovery.Comeback;
import lemondrift.settings.BadInput;

/** Reads what a deployment may say of a proxy's way back after its start; docs/recovery.md has the keys. */
final class RecoveryFile {
    private static final double PERIOD = 5;
    private static final int MOST = 255;

    private RecoveryFile() {}

    /** Spans are given as shares of the shortest contract time, which is so many seconds. */
    static Comeback.Plan read(Path file, double window) throws IOException {
        Pace usual = Pace.of(1);
        double ask = usual.ask(), bound = usual.bound(), forget = usual.forget(), period = PERIOD;
        int fanout = usual.fanout(), enough = usual.enough();
        Path folder = null;
        for (Map.Entry<String, JsonElement> each : DoorFile.object(file).entrySet()) {
            JsonElement value = each.getValue();
            try {
                switch (each.getKey()) {
                    case "ask" -> ask = DoorFile.seconds(value, 0.01, 10);
                    case "bound" -> bound = DoorFile.seconds(value, 0.1, 100);
                    case "forget" -> forget = DoorFile.seconds(value, 0.1, 1000);
                    case "fanout" -> fanout = (int) DoorFile.seconds(value, 1, MOST);
                    case "enough" -> enough = (int) DoorFile.seconds(value, 1, MOST);
                    case "period" -> period = DoorFile.seconds(value, 0.1, 3600);
                    case "folder" -> folder = Path.of(value.getAsString());
                    default -> throw new BadInput("not a key; there are ask, bound, forget, fanout, enough, "
                            + "folder, period");
                }
            } catch (BadInput | IllegalStateException | UnsupportedOperationException e) {
                throw new BadInput(file + ": " + each.getKey() + ": " + e.getMessage());
            }
        }
        if (forget < bound) {
            throw new BadInput(file + ": forget: " + forget + " is under bound, " + bound);
        }
        return new Comeback.Plan(new Pace(ask * window, bound * window, forget * window, fanout, enough),
                folder, period);
    }
}
