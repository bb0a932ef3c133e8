package org.foxtailmoor.base;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;
import org.junit.jupiter.params.provider.ValueSource;

class ErrorKindTest {
    @Nested
    class RequestKinds {
        /** Guards against an answer with a wrong status or a wrong claim of "not run". */
        @ParameterizedTest
        @CsvFileSource(resources = "/request-kinds.csv")
        void haveTheStatusAndOutcomeOfTheDesign(ErrorKind kind, int status, boolean notRun) {
            assertThat(kind.status()).isEqualTo(status);
            assertThat(kind.isNotRun()).isEqualTo(notRun);
            assertThat(kind.exitCode()).isEqualTo(1);
        }

        /** Guards against a retry of a request that may have run. */
        @Test
        void areRetryableOnlyIfNotRun() {
            assertThat(ErrorKind.values())
                    .filteredOn(ErrorKind::isRetryableElsewhere)
                    .isNotEmpty()
                    .allMatch(ErrorKind::isNotRun);
        }
    }

    @Nested
    class ProgramKinds {
        /** Guards against scripts that mistake one failure for another. */
        @Test
        void haveDistinctExitCodesFromTwoToSeven() {
            assertThat(Arrays.stream(ErrorKind.values()).map(ErrorKind::exitCode).distinct())
                    .containsExactly(1, 2, 3, 4, 5, 6, 7);
            assertThat(ErrorKind.USAGE.exitCode()).isEqualTo(2);
            assertThat(ErrorKind.DISAGREEMENT.exitCode()).isEqualTo(7);
        }
    }

    /** Guards against an exception on a kind that only newer nodes know. */
    @ParameterizedTest
    @ValueSource(strings = {"", "leaving", "NEWER_KIND"})
    void unknownNamesAreInternal(String name) {
        assertThat(ErrorKind.of(name)).isEqualTo(ErrorKind.INTERNAL);
        assertThat(ErrorKind.of(null)).isEqualTo(ErrorKind.INTERNAL);
        assertThat(ErrorKind.of("LEAVING")).isEqualTo(ErrorKind.LEAVING);
    }
}
