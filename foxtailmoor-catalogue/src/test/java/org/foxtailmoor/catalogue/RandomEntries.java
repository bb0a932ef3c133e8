package org.foxtailmoor.catalogue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.foxtailmoor.protocol.generated.ClassEntry;
import org.foxtailmoor.protocol.generated.Entry;
import org.foxtailmoor.protocol.generated.LimitEntry;
import org.foxtailmoor.protocol.generated.OwnerEntry;
import org.foxtailmoor.protocol.generated.RegionEntry;
import org.foxtailmoor.protocol.generated.RetryEntry;
import org.foxtailmoor.protocol.generated.RouteEntry;
import org.foxtailmoor.protocol.generated.ServiceEntry;

/** Generates entries with arbitrary values, valid or not, that differ in type or id. */
final class RandomEntries {
    private static final String CHARACTERS = "ab/\"\\\n\t\u0001\u007f# =[]é\u4e00";

    private final Random mRandom;

    RandomEntries(Random random) {
        mRandom = random;
    }

    /** Returns up to 20 entries. */
    List<Entry> next() {
        List<Entry> entries = new ArrayList<>();
        int count = mRandom.nextInt(20);
        for (int index = 0; index < count; index++) {
            EntryType type = EntryType.values()[mRandom.nextInt(EntryType.values().length)];
            Entry.Builder entry = Entry.newBuilder().setId(text() + index).setOwner("o" + text());
            if (type.hasClass()) {
                entry.setClassId(text());
            }
            setBody(entry, type);
            entries.add(entry.build());
        }
        return entries;
    }

    private void setBody(Entry.Builder entry, EntryType type) {
        switch (type) {
            case OWNER -> entry.setOwnerEntry(OwnerEntry.newBuilder().setContact(text()));
            case CLASS ->
                    entry.setClassEntry(
                            ClassEntry.newBuilder().setWeight(number()).setQueueLimit(number()));
            case REGION ->
                    entry.setRegionEntry(
                            RegionEntry.newBuilder().addZones(text()).addFallbackRegions(text()));
            case SERVICE ->
                    entry.setServiceEntry(
                            ServiceEntry.newBuilder()
                                    .setHomeRegion(text())
                                    .setSlots(number())
                                    .setConnections(number())
                                    .setCrashLimit(number())
                                    .setSlowStartMilliseconds(number()));
            case ROUTE ->
                    entry.setRouteEntry(
                            RouteEntry.newBuilder()
                                    .setServiceId(text())
                                    .setMethod(text())
                                    .setPathPrefix(text())
                                    .setIdempotent(mRandom.nextBoolean())
                                    .setRequireKey(mRandom.nextBoolean())
                                    .setDeadlineMilliseconds(number())
                                    .setBodyLimitBytes(number())
                                    .setLimitId(text())
                                    .setRetryId(text()));
            case LIMIT ->
                    entry.setLimitEntry(
                            LimitEntry.newBuilder()
                                    .setRatePerSecond(number())
                                    .setBurst(number())
                                    .setConcurrency(number()));
            case RETRY ->
                    entry.setRetryEntry(
                            RetryEntry.newBuilder()
                                    .setAttempts(number())
                                    .setBudgetPercent(number())
                                    .setBaseBackoffMilliseconds(number()));
            default -> throw new IllegalStateException("no random body for " + type);
        }
    }

    private int number() {
        return mRandom.nextInt() >>> mRandom.nextInt(32);
    }

    private String text() {
        StringBuilder text = new StringBuilder();
        for (int length = mRandom.nextInt(6); length > 0; length--) {
            text.append(CHARACTERS.charAt(mRandom.nextInt(CHARACTERS.length())));
        }
        return text.toString();
    }
}
