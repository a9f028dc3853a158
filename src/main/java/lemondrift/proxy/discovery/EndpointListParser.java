package lemondrift.proxy.discovery;

import com.google.gson.JsonParser;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import lemondrift.proxy.events.EndpointList;

/**
 * Parses a list in the JSON form of discovery in steps, so that a list with thousands of members
 * does not delay other threads.
 */
public final class EndpointListParser {
    private enum Position {
        BEFORE_LIST,
        IN_FIELDS,
        IN_MEMBERS,
        AFTER_LIST
    }

    private final JsonReader reader;
    private final EndpointListBuilder builder = new EndpointListBuilder();
    private Position position = Position.BEFORE_LIST;

    /** Null until it is read. */
    private Long revision;

    /** Null until it is read. */
    private Boolean complete;

    private boolean membersSeen;

    /** Creates a parser for the body of one response, encoded in UTF-8. */
    public EndpointListParser(byte[] body) {
        reader =
                new JsonReader(
                        new InputStreamReader(
                                new ByteArrayInputStream(body), StandardCharsets.UTF_8));
    }

    /**
     * Parses the next members.
     *
     * @param maxMembers the maximum number of members to parse
     * @return whether the whole list has been parsed
     * @throws IOException or a runtime exception if the body is not a list in the form of discovery
     */
    public boolean advance(int maxMembers) throws IOException {
        if (position == Position.BEFORE_LIST) {
            reader.beginObject();
            position = Position.IN_FIELDS;
        }
        int membersLeft = maxMembers;
        while (membersLeft > 0 && position != Position.AFTER_LIST) {
            if (position == Position.IN_MEMBERS) {
                membersLeft--;
                parseMember();
            } else {
                parseField();
            }
        }
        return position == Position.AFTER_LIST;
    }

    private void parseMember() throws IOException {
        if (reader.hasNext()) {
            builder.add(JsonParser.parseReader(reader));
        } else {
            reader.endArray();
            position = Position.IN_FIELDS;
        }
    }

    private void parseField() throws IOException {
        if (!reader.hasNext()) {
            reader.endObject();
            require(
                    reader.peek() == JsonToken.END_DOCUMENT,
                    "endpoint list: unexpected content after the end of the list");
            position = Position.AFTER_LIST;
            return;
        }
        switch (reader.nextName()) {
            case "revision" -> revision = reader.nextLong();
            case "complete" -> complete = reader.nextBoolean();
            case "members" -> {
                reader.beginArray();
                membersSeen = true;
                position = Position.IN_MEMBERS;
            }
            default -> reader.skipValue();
        }
    }

    /**
     * Returns the list, after {@link #advance} has returned true.
     *
     * @throws IOException if a field is missing or the list has not been parsed to its end. Guards
     *     against using the revision of an incomplete list
     */
    public EndpointList list() throws IOException {
        require(
                position == Position.AFTER_LIST
                        && membersSeen
                        && revision != null
                        && complete != null,
                "endpoint list: \"members\", \"revision\" or \"complete\" is missing");
        return builder.build(revision, complete);
    }

    private static void require(boolean condition, String message) throws IOException {
        if (!condition) {
            throw new IOException(message);
        }
    }
}
