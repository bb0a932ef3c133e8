package org.foxtailmoor.base;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

class ProgramTest {
    private final ByteArrayOutputStream mOutput = new ByteArrayOutputStream();
    private final PrintStream mStandardOutput = System.out;
    private final PrintStream mStandardError = System.err;

    static final class TestProgram extends Program {
        @Argument(required = true, handler = SubCommandHandler.class)
        @SubCommands(@SubCommand(name = "fail", impl = FailCommand.class))
        private Command mCommand;

        @Override
        protected String name() {
            return "test-program";
        }

        @Override
        protected int run() {
            return mCommand.execute(name());
        }
    }

    /** Sub-command that always fails; public because args4j creates it. */
    public static final class FailCommand extends Command {
        @Override
        protected String name() {
            return "fail";
        }

        @Override
        protected int run() {
            throw FoxtailmoorException.of(ErrorKind.DISAGREEMENT, "on purpose");
        }
    }

    @BeforeEach
    void redirect() {
        PrintStream stream = new PrintStream(mOutput, true, StandardCharsets.UTF_8);
        System.setOut(stream);
        System.setErr(stream);
    }

    @AfterEach
    void restore() {
        System.setOut(mStandardOutput);
        System.setErr(mStandardError);
    }

    /** Guards against an exit code that does not identify the kind of failure. */
    @Test
    void exitCodeFollowsTheErrorKind() {
        assertThat(new TestProgram().execute("fail")).isEqualTo(7);
        assertThat(new TestProgram().execute()).isEqualTo(2);
        assertThat(new TestProgram().execute("fail", "--unknown")).isEqualTo(2);
        assertThat(mOutput.toString(StandardCharsets.UTF_8)).contains("test-program: on purpose");
    }

    /** Guards against help that fails because required arguments are missing. */
    @Test
    void helpAndVersionNeedNoArguments() {
        assertThat(new TestProgram().execute("--help")).isZero();
        assertThat(new TestProgram().execute("--version")).isZero();
        assertThat(new TestProgram().execute("fail", "--help")).isZero();
        assertThat(mOutput.toString(StandardCharsets.UTF_8))
                .contains("usage: test-program [options]", "usage: test-program fail");
    }
}
