package org.foxtailmoor.standins.measure;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.base.Program;
import org.foxtailmoor.standins.http.ControlClient;
import org.kohsuke.args4j.Option;

/** Runs the measures and prints one JSON object a line. */
public final class MeasureProgram extends Program {
    private static final List<Measure> MEASURES =
            List.of(
                    new ConvergenceMeasure(),
                    new ControlBytesMeasure(),
                    new SourceCallsMeasure(),
                    new AddedLatencyMeasure(),
                    new OverloadMeasure(),
                    new NodeCostMeasure());

    @Option(name = "--root", required = true, metaVar = "DIR", usage = "root of the project")
    private String mRoot;

    @Option(name = "--base-port", metaVar = "PORT", usage = "first of about 210 ports")
    private int mBasePort = 22_000;

    @Option(name = "--only", metaVar = "NAME", usage = "run only the measure with this name")
    private String mOnly = "";

    @Option(name = "--nodes", metaVar = "N,...", usage = "numbers of nodes")
    private String mNodes = "10,20,40";

    @Option(name = "--repetitions", metaVar = "N", usage = "repetitions of each measurement")
    private int mRepetitions = 5;

    @Option(name = "--seconds", metaVar = "N", usage = "length of measurements that last a time")
    private int mSeconds = 20;

    @Override
    protected String name() {
        return "foxtailmoor-standins measure";
    }

    @Override
    protected int run() {
        List<Measure> chosen =
                MEASURES.stream()
                        .filter(measure -> mOnly.isEmpty() || measure.name().equals(mOnly))
                        .toList();
        if (chosen.isEmpty()) {
            List<String> names = MEASURES.stream().map(Measure::name).toList();
            throw FoxtailmoorException.of(ErrorKind.USAGE, mOnly + " is not one of " + names);
        }
        try (ControlClient client = new ControlClient()) {
            MeasureContext context =
                    new MeasureContext(
                            Path.of(mRoot).toAbsolutePath().normalize(),
                            mBasePort,
                            client,
                            Stream.of(mNodes.split(",")).map(Integer::valueOf).toList(),
                            mRepetitions,
                            mSeconds);
            chosen.forEach(measure -> measure.run(context));
        } catch (NumberFormatException e) {
            throw FoxtailmoorException.of(ErrorKind.USAGE, "--nodes: " + e.getMessage(), e);
        }
        return EXIT_CODE_SUCCESS;
    }
}
