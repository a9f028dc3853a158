package lemondrift.model;

/** What holds for an exchange from its arrival to its end, whatever is stated later. */
public record Terms(ServiceGrade grade, int forwards) {}
