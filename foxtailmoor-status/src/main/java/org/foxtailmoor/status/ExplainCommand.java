package org.foxtailmoor.status;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionException;
import org.foxtailmoor.base.Command;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.base.Program;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Sub-command {@code explain}: prints how a node would route a request. */
public final class ExplainCommand extends Command {
    @Option(
            name = "--node",
            required = true,
            metaVar = "IP:ADMIN_PORT",
            usage = "admin port of the node")
    private String mNode;

    @Argument(index = 0, required = true, metaVar = "METHOD", usage = "HTTP method")
    private String mMethod;

    @Argument(index = 1, required = true, metaVar = "PATH", usage = "path of the request")
    private String mPath;

    @Override
    protected String name() {
        return "explain";
    }

    @Override
    protected int run() {
        NodeAddress node = NodeAddress.of(mNode);
        String target = "/explain?method=" + encode(mMethod) + "&path=" + encode(mPath);
        try {
            String answer = new HttpNodeClient().get(node, target).join();
            System.out.println(StatusFormatter.indent(answer).stripTrailing());
        } catch (CompletionException e) {
            if (e.getCause() instanceof FoxtailmoorException failure) {
                throw failure;
            }
            throw e;
        }
        return Program.EXIT_CODE_SUCCESS;
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
