package lemondrift.model;

/** Which backends know a receipted exchange's repeats. */
public enum DeduplicationScope {
    ALL,
    LOCATION,
    CELL
}
