package org.foxtailmoor.status;

import io.netty.util.NetUtil;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;

/**
 * Address of a node's admin port.
 *
 * @param host IP number, IPv6 without brackets
 * @param port TCP port, 1 to 65535
 */
public record NodeAddress(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /**
     * Parses an address such as {@code 10.0.0.1:9000} or {@code [::1]:9000}.
     *
     * @param text IP number and port
     * @throws FoxtailmoorException of kind USAGE if it is not an IP number and a port
     */
    public static NodeAddress of(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        int port = colon < 0 ? 0 : parsePort(text.substring(colon + 1));
        boolean bracketed = host.startsWith("[") && host.endsWith("]");
        if (bracketed) {
            host = host.substring(1, host.length() - 1);
        }
        boolean validHost =
                bracketed ? NetUtil.isValidIpV6Address(host) : NetUtil.isValidIpV4Address(host);
        if (!validHost || port < 1 || port > MAX_PORT) {
            throw FoxtailmoorException.of(
                    ErrorKind.USAGE, "\"" + text + "\" is not an IP number and a port (IP:PORT)");
        }
        return new NodeAddress(host, port);
    }

    private static int parsePort(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** Returns the address in the format that {@link #of} parses. */
    @Override
    public String toString() {
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + port;
    }
}
