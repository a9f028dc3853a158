package lemondrift.model;

/** Which backends know a receipted exchange's repeats. */
public enum Group { ALL, LOCATION, CELL }
