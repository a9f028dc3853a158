package lemondrift.model;

/**
 * The mean time that a backend works on one request, measured from this proxy's own responses.
 *
 * @param seconds the mean; 0 if there are no samples
 * @param samples the number of responses that the mean is taken over
 */
public record ServiceTime(double seconds, double samples) {}
