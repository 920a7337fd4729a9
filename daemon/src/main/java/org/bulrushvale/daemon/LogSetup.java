package org.bulrushvale.daemon;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.bulrushvale.adapters.settings.EntrySettings;
import org.jboss.logmanager.formatters.JsonFormatter;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.ConsoleHandler;

/**
 * Configures the log output of the process.
 *
 * <p>Invariant: one handler writes to standard output; records about a request include its fields.
 * Thread safety: called once by the main thread before any other class logs.
 */
public final class LogSetup {
    private static final String PATTERN =
            "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5p [%c{1}] %X{request} %X{workspace} %X{class} "
                    + "%X{stage} %X{attempt} %X{verdict} %s%e%n";

    private LogSetup() {}

    /** Selects the log manager; must run before the first logger is created. */
    public static void selectManager() {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        System.setProperty("org.jboss.logging.provider", "jboss");
    }

    static void configure(EntrySettings.Log settings) {
        configure(settings.json(), settings.level());
    }

    /** Configures the output of records of at least the given level, as JSON or as text. */
    public static void configure(boolean json, String level) {
        ConsoleHandler handler =
                new ConsoleHandler(
                        ConsoleHandler.Target.SYSTEM_OUT,
                        json ? new JsonFormatter() : new PatternFormatter(PATTERN));
        handler.setLevel(Level.ALL);
        handler.setAutoFlush(true);
        Logger root = Logger.getLogger("");
        for (Handler old : root.getHandlers()) {
            root.removeHandler(old);
        }
        root.addHandler(handler);
        root.setLevel(level(level));
        Logger.getLogger("org.xnio").setLevel(Level.WARNING);
        Logger.getLogger("io.undertow").setLevel(Level.WARNING);
    }

    private static Level level(String name) {
        return switch (name) {
            case "ERROR" -> Level.SEVERE;
            case "WARN" -> Level.WARNING;
            case "DEBUG" -> Level.FINE;
            default -> Level.INFO;
        };
    }
}
