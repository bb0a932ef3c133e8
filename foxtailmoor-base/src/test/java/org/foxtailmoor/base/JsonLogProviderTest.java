package org.foxtailmoor.base;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class JsonLogProviderTest {
    private final JsonLogProvider mProvider = new JsonLogProvider();

    @BeforeEach
    void start() {
        mProvider.initialize();
    }

    @AfterEach
    void stop() {
        ((LoggerContext) mProvider.getLoggerFactory()).stop();
    }

    /** Guards against a program that logs nothing, or everything of its libraries. */
    @Test
    void rootLoggerHasTheConfiguredLevelAndOneOutput() {
        LoggerContext context = (LoggerContext) mProvider.getLoggerFactory();
        ch.qos.logback.classic.Logger root = context.getLogger("ROOT");
        assertThat(root.getLevel()).isEqualTo(Level.INFO);
        assertThat(root.iteratorForAppenders()).toIterable().hasSize(1);
        assertThat(context.isStarted()).isTrue();
    }

    @Test
    void keysAndMarkersAreSupported() {
        mProvider
                .getLoggerFactory()
                .getLogger("test")
                .atInfo()
                .addKeyValue("key", 1)
                .log("written with a key");
        mProvider.getMDCAdapter().put("a", "b");
        assertThat(mProvider.getMDCAdapter().get("a")).isEqualTo("b");
        assertThat(mProvider.getMarkerFactory().getMarker("m").getName()).isEqualTo("m");
    }
}
