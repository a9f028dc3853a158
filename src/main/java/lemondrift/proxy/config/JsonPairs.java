package lemondrift.proxy.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Map;

/** Flattens nested JSON into the path=value pairs from which settings are read. */
final class JsonPairs {
    private JsonPairs() {}

    /**
     * Adds the pairs of a value at a path. For a list of objects, adds its length under {@code
     * .count} and each object under its index. For any other list, adds its values joined by
     * commas. JSON null adds nothing.
     */
    static void flatten(String path, JsonElement value, Map<String, String> pairs) {
        String prefix = path.isEmpty() ? "" : path + ".";
        if (value instanceof JsonObject object) {
            object.entrySet()
                    .forEach(entry -> flatten(prefix + entry.getKey(), entry.getValue(), pairs));
        } else if (value instanceof JsonArray array
                && !array.isEmpty()
                && array.get(0).isJsonObject()) {
            pairs.put(prefix + "count", String.valueOf(array.size()));
            for (int index = 0; index < array.size(); index++) {
                flatten(prefix + index, array.get(index), pairs);
            }
        } else if (value instanceof JsonArray array) {
            pairs.put(
                    path,
                    String.join(
                            ",", array.asList().stream().map(JsonElement::getAsString).toList()));
        } else if (value.isJsonPrimitive()) {
            pairs.put(path, value.getAsString());
        }
    }
}
