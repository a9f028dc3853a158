package lemondrift;

import lemondrift.drill.Drill;

/** Subcommands; each protocol that can stand before the decisions gets one. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        if (args.length == 1 && args[0].equals("drill")) {
            System.exit(Drill.run(System.in, System.out, System.err));
        }
        System.err.println("usage: lemondrift drill   (plays the decisions on the users' bench)");
        System.exit(2);
    }
}
