package org.foxtailmoor.base;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.CoreConstants;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * SLF4J provider that starts Logback with the {@link JsonLogConfigurator} at once, without the
 * search for configurations and providers. For programs whose start must be short.
 */
public final class JsonLogProvider implements SLF4JServiceProvider {
    private static final String REQUESTED_API_VERSION = "2.0.99";

    private final LoggerContext mContext = new LoggerContext();
    private final IMarkerFactory mMarkers = new BasicMarkerFactory();
    private final LogbackMDCAdapter mDiagnosticContext = new LogbackMDCAdapter();

    /**
     * Selects this provider and the output of long-running programs. To be called before the first
     * logger is created.
     */
    public static void install() {
        System.setProperty("slf4j.provider", JsonLogProvider.class.getName());
        System.setProperty("slf4j.internal.verbosity", "WARN");
        System.setProperty(JsonLogConfigurator.OUTPUT_PROPERTY, JsonLogConfigurator.OUTPUT_BATCH);
    }

    @Override
    public void initialize() {
        mContext.setName(CoreConstants.DEFAULT_CONTEXT_NAME);
        mContext.setMDCAdapter(mDiagnosticContext);
        new JsonLogConfigurator().configure(mContext);
        mContext.start();
    }

    @Override
    public ILoggerFactory getLoggerFactory() {
        return mContext;
    }

    @Override
    public IMarkerFactory getMarkerFactory() {
        return mMarkers;
    }

    @Override
    public MDCAdapter getMDCAdapter() {
        return mDiagnosticContext;
    }

    @Override
    public String getRequestedApiVersion() {
        return REQUESTED_API_VERSION;
    }
}
