package org.foxtailmoor.standins.load;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.UUID;
import org.foxtailmoor.standins.http.OutgoingCall;
import org.foxtailmoor.standins.target.AnswerBody;

/**
 * One request of a load.
 *
 * @param kind kind of the request
 * @param id id that the answer must carry
 * @param key idempotency key, null for none
 * @param body body, empty for none
 */
public record LoadRequest(LoadKind kind, String id, UUID key, byte[] body) {
    /** Returns a new request of a kind, with a new id and, where the kind has keys, a new key. */
    public static LoadRequest create(LoadKind kind) {
        String id = UUID.randomUUID().toString();
        UUID key = kind.withKey() ? IdempotencyKeys.create(System.currentTimeMillis()) : null;
        byte[] body = kind.bodyBytes() == 0 ? new byte[0] : AnswerBody.of(id, kind.bodyBytes());
        return new LoadRequest(kind, id, key, body);
    }

    /** Returns the call that sends this request to an address. */
    public OutgoingCall callTo(InetSocketAddress address) {
        Map<String, String> headers = new HashMap<>();
        headers.put(AnswerBody.REQUEST_IDENTIFIER, id);
        headers.put(AnswerBody.ANSWER_BYTES, Integer.toString(kind.answerBytes()));
        String deadline = Integer.toString(kind.deadlineMilliseconds());
        headers.put("Foxtailmoor-Deadline-Milliseconds", deadline);
        if (key != null) {
            headers.put("Idempotency-Key", key.toString());
        }
        return new OutgoingCall(
                address, kind.method(), kind.path(), headers, body, kind.deadlineMilliseconds());
    }
}
