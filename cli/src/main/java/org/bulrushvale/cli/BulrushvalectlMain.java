package org.bulrushvale.cli;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.logging.Level;
import java.util.logging.Logger;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Entry point of {@code bulrushvalectl}.
 *
 * <p>Exit codes: 0 success, 1 refused or failed, 2 wrong usage, 3 entry unreachable, 4
 * configuration invalid.
 *
 * <p>Thread safety: not safe; used by the main thread.
 */
public final class BulrushvalectlMain {
    private static final String NAME = "bulrushvalectl";

    private BulrushvalectlMain() {}

    /** Runs one command and exits. */
    public static void main(String[] args) {
        System.setProperty("java.awt.headless", "true");
        Logger.getLogger("").setLevel(Level.WARNING);
        PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
        PrintWriter err = new PrintWriter(System.err, true, StandardCharsets.UTF_8);
        System.exit(run(out, err, args));
    }

    /** Runs one command; returns the exit code. */
    static int run(PrintWriter out, PrintWriter err, String... args) {
        CommandLine root = commandLine(out, err);
        root.setOut(out).setErr(err);
        root.setCaseInsensitiveEnumValuesAllowed(true);
        root.setExecutionExceptionHandler(
                (exception, command, result) -> {
                    if (exception instanceof CliException cliException) {
                        err.println(NAME + ": " + cliException.text());
                        return cliException.exitCode();
                    }
                    throw exception;
                });
        return root.execute(args);
    }

    private static CommandLine commandLine(PrintWriter out, PrintWriter err) {
        CommandLine root = new CommandLine(new RootCommand());
        root.addSubcommand(new StatusCommand(out));
        root.addSubcommand(
                "classes", reportCommand(out, "/v1/classes", "Show the classes of work."));
        root.addSubcommand(
                "backends", reportCommand(out, "/v1/backends", "Show the backend servers."));
        CommandLine config = new CommandLine(new CommandGroup());
        config.getCommandSpec().usageMessage().description("Check or show the configuration.");
        config.addSubcommand(new ConfigCheckCommand(out));
        config.addSubcommand(
                "show", reportCommand(out, "/v1/config", "Show the configuration in force."));
        root.addSubcommand("config", config);
        root.addSubcommand(new RequestCommand(out, err));
        root.addSubcommand(new ExplainCommand(out));
        CommandLine reports = new CommandLine(new CommandGroup());
        reports.getCommandSpec().usageMessage().description("Reports over all entries.");
        reports.addSubcommand(new BurnCommand(out));
        root.addSubcommand("report", reports);
        root.addSubcommand(
                "version", textCommand(out, "Print the version.", () -> NAME + " " + version()));
        root.addSubcommand(
                "completion",
                textCommand(
                        out,
                        "Print a completion script for bash and zsh.",
                        () -> AutoComplete.bash(NAME, root)));
        return root;
    }

    private static CommandLine reportCommand(PrintWriter out, String path, String description) {
        CommandLine command = new CommandLine(new ReportCommand(out, path));
        command.getCommandSpec().usageMessage().description(description);
        return command;
    }

    private static CommandLine textCommand(
            PrintWriter out, String description, Callable<String> text) {
        CommandLine command = new CommandLine(new TextCommand(out, text));
        command.getCommandSpec().usageMessage().description(description);
        return command;
    }

    private static String version() {
        String version = BulrushvalectlMain.class.getPackage().getImplementationVersion();
        return Optional.ofNullable(version).orElse("development");
    }

    /** The command without a subcommand: prints its usage. */
    @Command(name = NAME)
    private static final class RootCommand implements Callable<Integer> {
        @CommandLine.Option(
                names = {"-h", "--help"},
                usageHelp = true,
                scope = CommandLine.ScopeType.INHERIT,
                description = "show this help")
        private boolean mHelp;

        @CommandLine.Spec private CommandLine.Model.CommandSpec mSpec = emptySpec();

        private static CommandLine.Model.CommandSpec emptySpec() {
            return CommandLine.Model.CommandSpec.create();
        }

        @Override
        public Integer call() {
            mSpec.commandLine().usage(mSpec.commandLine().getErr());
            return CliException.USAGE;
        }
    }

    /** A command that only groups subcommands: prints its usage. */
    @Command
    private static final class CommandGroup implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec mSpec = CommandLine.Model.CommandSpec.create();

        @Override
        public Integer call() {
            mSpec.commandLine().usage(mSpec.commandLine().getErr());
            return CliException.USAGE;
        }
    }

    /** Prints a text that the tool produces without calling an entry. */
    @Command
    private static final class TextCommand implements Callable<Integer> {
        private final PrintWriter mOut;
        private final Callable<String> mText;

        private TextCommand(PrintWriter out, Callable<String> text) {
            mOut = out;
            mText = text;
        }

        @Override
        public Integer call() throws Exception {
            mOut.println(mText.call());
            return CliException.OK;
        }
    }
}
