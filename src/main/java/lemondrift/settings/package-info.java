/**
 * Reads the settings of the balancer from path=value pairs, whichever file or tool they come from,
 * and assigns each named request class the index that identifies it in the balancer. Maps the
 * operators' keys to the terms of {@link lemondrift.model.Settings}. The classes are stateless or
 * immutable and may be used by any thread.
 */
package lemondrift.settings;
