/**
 * Experiments on the decisions under failure: a scenario with faults, policies to compare and the
 * figures expected of them, read from TOML files. {@link lemondrift.lab.ModuleUnderTest} is the
 * decision module, {@link lemondrift.lab.Baseline} are simpler policies. One thread; no sockets.
 */
package lemondrift.lab;
