package lemondrift.model;

/**
 * The mean time that a backend works on one request, as this proxy's own responses show it.
 *
 * @param seconds the mean; 0 where there are no samples
 * @param samples how many responses it is the mean of
 */
public record ServiceTime(double seconds, double samples) {}
