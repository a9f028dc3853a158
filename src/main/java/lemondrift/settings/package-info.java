/**
 * Reads the settings of the decisions from path=value pairs, whatever file or tool they come from,
 * and assigns each named request class the index under which the decisions know it. Here the
 * operators' keys are mapped to the terms of {@link lemondrift.model.Settings}. Stateless, or
 * immutable values; any thread.
 */
package lemondrift.settings;
