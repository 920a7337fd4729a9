package org.bulrushvale.daemon;

import org.jboss.logmanager.ConfiguratorFactory;
import org.jboss.logmanager.LogContextConfigurator;

/**
 * Prevents the log manager from building its default configuration, which takes a tenth of the
 * start time of a process and is replaced by {@link LogSetup}.
 *
 * <p>Thread safety: stateless.
 */
public final class EmptyLogConfiguratorFactory implements ConfiguratorFactory {
    private static final int PRIORITY_BEFORE_DEFAULT = 1;

    /** Creates the factory; called by ServiceLoader. */
    public EmptyLogConfiguratorFactory() {}

    @Override
    public LogContextConfigurator create() {
        return LogContextConfigurator.EMPTY;
    }

    @Override
    public int priority() {
        return PRIORITY_BEFORE_DEFAULT;
    }
}
