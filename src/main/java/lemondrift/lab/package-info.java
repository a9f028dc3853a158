/**
 * Experiments on the decisions under failure. An experiment is read from a TOML file and consists
 * of a scenario with faults, the policies to compare, and the expected figures. {@link
 * lemondrift.lab.ModuleUnderTest} is the decision module; {@link lemondrift.lab.Baseline}
 * implements simpler policies. Everything runs in one thread, without sockets.
 */
package lemondrift.lab;
