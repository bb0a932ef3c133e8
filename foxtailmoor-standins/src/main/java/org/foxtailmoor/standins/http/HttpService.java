package org.foxtailmoor.standins.http;

import java.util.concurrent.CompletionStage;

/** Answers the requests of an {@link HttpServer}. */
@FunctionalInterface
public interface HttpService {
    /**
     * Answers one request. Runs on the event loop of the connection and must not block.
     *
     * @param call request, not null
     * @return answer; if it never completes, the connection stays open without an answer, and if it
     *     fails, the caller gets status 500
     */
    CompletionStage<HttpReply> answer(HttpCall call);
}
