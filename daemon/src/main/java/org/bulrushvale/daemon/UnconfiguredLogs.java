package org.bulrushvale.daemon;

import org.jboss.logmanager.ConfiguratorFactory;
import org.jboss.logmanager.LogContextConfigurator;

/**
 * Keeps the log manager from building a default configuration, which {@link LogSetup} replaces and
 * which takes a tenth of the start of a process.
 *
 * <p>Thread safety: stateless.
 */
public final class UnconfiguredLogs implements ConfiguratorFactory {
    private static final int BEFORE_DEFAULT = 1;

    /** Creates the factory; called by ServiceLoader. */
    public UnconfiguredLogs() {}

    @Override
    public LogContextConfigurator create() {
        return LogContextConfigurator.EMPTY;
    }

    @Override
    public int priority() {
        return BEFORE_DEFAULT;
    }
}
