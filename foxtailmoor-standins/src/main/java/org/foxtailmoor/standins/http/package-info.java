/** A small HTTP/1.1 server and client, shared by the stand-ins and tools. */
package org.foxtailmoor.standins.http;
