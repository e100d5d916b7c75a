package org.mangowall.edge.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.mangowall.edge.decision.CrashSuspect;
import org.mangowall.edge.decision.LoadEvent;
import org.mangowall.edge.decision.RunOutcome;
import org.mangowall.edge.decision.StreamOrigin;
import org.mangowall.edge.model.PromptPart;
import org.mangowall.edge.model.StatedLoad;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes load events as MessagePack. */
final class LoadEventCodec {

    private static final int EVENT_SENT = 1;
    private static final int EVENT_RESPONSE_STARTED = 2;
    private static final int EVENT_ENDED = 3;
    private static final int EVENT_UNREACHABLE = 4;
    private static final int EVENT_PARTS_CACHED = 5;
    private static final int EVENT_STREAM_BEGAN = 6;
    private static final int EVENT_TURNED_AWAY = 7;
    private static final int EVENT_QUARANTINED = 8;
    private static final int EVENT_RATE_LIMIT_STATED = 9;
    private static final int EVENT_RUNNER_LEAVING = 10;
    private static final int EVENT_LOAD_STATED = 11;
    private static final int SUSPECT_PART = 1;
    private static final int SUSPECT_REQUEST = 2;

    private LoadEventCodec() {}

    /** Encodes a list of events. */
    static void pack(MessageBufferPacker packer, List<LoadEvent> events) throws IOException {
        packer.packArrayHeader(events.size());
        for (LoadEvent event : events) {
            packEvent(packer, event);
        }
    }

    private static void packEvent(MessageBufferPacker packer, LoadEvent event) throws IOException {
        switch (event) {
            case LoadEvent.Sent sent -> packSent(packer, sent);
            case LoadEvent.ResponseStarted started ->
                packer.packInt(EVENT_RESPONSE_STARTED).packLong(started.number());
            case LoadEvent.Ended ended -> {
                packer.packInt(EVENT_ENDED)
                        .packLong(ended.number())
                        .packInt(ended.outcome().ordinal());
                packer.packBoolean(ended.fingerprint().isPresent());
                if (ended.fingerprint().isPresent()) {
                    packer.packLong(ended.fingerprint().getAsLong());
                }
            }
            case LoadEvent.Unreachable unreachable ->
                packer.packInt(EVENT_UNREACHABLE).packString(unreachable.runner());
            case LoadEvent.PartsCached partsCached -> {
                packer.packInt(EVENT_PARTS_CACHED).packString(partsCached.runner());
                packParts(packer, partsCached.parts());
            }
            case LoadEvent.StreamBegan began -> {
                packer.packInt(EVENT_STREAM_BEGAN);
                packOrigin(packer, began.origin());
            }
            case LoadEvent.Quarantined quarantined ->
                packer.packInt(EVENT_QUARANTINED)
                        .packInt(suspectKind(quarantined.suspect()))
                        .packLong(quarantined.suspect().identifier())
                        .packLong(quarantined.remainingNanos());
            case LoadEvent.RunnerLeaving leaving ->
                packer.packInt(EVENT_RUNNER_LEAVING).packString(leaving.runner());
            case LoadEvent.LoadStated stated ->
                packer.packInt(EVENT_LOAD_STATED)
                        .packString(stated.runner())
                        .packInt(stated.load().running())
                        .packInt(stated.load().waiting())
                        .packInt(stated.load().slots())
                        .packFloat((float) stated.load().pace());
            case LoadEvent.RateLimitStated stated -> {
                packer.packInt(EVENT_RATE_LIMIT_STATED).packString(stated.runner());
                packer.packBoolean(stated.requestsPerSecond().isPresent());
                packer.packDouble(stated.requestsPerSecond().orElse(0.0));
                packer.packLong(stated.ageNanos());
            }
            case LoadEvent.TurnedAway turnedAway ->
                packer.packInt(EVENT_TURNED_AWAY)
                        .packString(turnedAway.workspace())
                        .packLong(turnedAway.costTokens());
        }
    }

    private static void packSent(MessageBufferPacker packer, LoadEvent.Sent sent) throws IOException {
        packer.packInt(EVENT_SENT);
        packer.packLong(sent.number());
        packer.packString(sent.runner());
        packer.packString(sent.workspace().orElse(""));
        packParts(packer, sent.parts());
        packer.packInt(sent.prefillTokens());
        packer.packInt(sent.memoryTokens());
        packer.packLong(sent.costTokens());
        packer.packBoolean(sent.stream().isPresent());
        if (sent.stream().isPresent()) {
            packOrigin(packer, sent.stream().get());
        }
    }

    private static int suspectKind(CrashSuspect suspect) {
        return switch (suspect) {
            case CrashSuspect.Part part -> SUSPECT_PART;
            case CrashSuspect.Request request -> SUSPECT_REQUEST;
        };
    }

    private static void packOrigin(MessageBufferPacker packer, StreamOrigin origin) throws IOException {
        packer.packString(origin.request());
        packer.packString(origin.service());
        packer.packString(origin.softwareVersion());
    }

    private static void packParts(MessageBufferPacker packer, List<PromptPart> parts) throws IOException {
        packer.packArrayHeader(parts.size());
        for (PromptPart part : parts) {
            packer.packLong(part.identifier());
            packer.packInt(part.tokens());
        }
    }

    /** Decodes a list of events; fails with {@code FRAME_INVALID} if it contains an unknown type. */
    static List<LoadEvent> unpack(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        List<LoadEvent> events = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            events.add(unpackEvent(unpacker));
        }
        return events;
    }

    private static LoadEvent unpackEvent(MessageUnpacker unpacker) throws IOException {
        int type = unpacker.unpackInt();
        return switch (type) {
            case EVENT_SENT -> unpackSent(unpacker);
            case EVENT_RESPONSE_STARTED -> new LoadEvent.ResponseStarted(unpacker.unpackLong());
            case EVENT_ENDED ->
                new LoadEvent.Ended(
                        unpacker.unpackLong(),
                        unpackOutcome(unpacker),
                        unpacker.unpackBoolean() ? OptionalLong.of(unpacker.unpackLong()) : OptionalLong.empty());
            case EVENT_UNREACHABLE -> new LoadEvent.Unreachable(unpacker.unpackString());
            case EVENT_PARTS_CACHED -> new LoadEvent.PartsCached(unpacker.unpackString(), unpackParts(unpacker));
            case EVENT_STREAM_BEGAN -> new LoadEvent.StreamBegan(unpackOrigin(unpacker));
            case EVENT_QUARANTINED -> new LoadEvent.Quarantined(unpackSuspect(unpacker), unpacker.unpackLong());
            case EVENT_RUNNER_LEAVING -> new LoadEvent.RunnerLeaving(unpacker.unpackString());
            case EVENT_LOAD_STATED -> new LoadEvent.LoadStated(unpacker.unpackString(), unpackLoad(unpacker));
            case EVENT_RATE_LIMIT_STATED -> unpackRateLimit(unpacker);
            case EVENT_TURNED_AWAY -> new LoadEvent.TurnedAway(unpacker.unpackString(), unpacker.unpackLong());
            default -> throw new MangowallException(FailureCode.FRAME_INVALID, "unknown load event type " + type);
        };
    }

    private static StatedLoad unpackLoad(MessageUnpacker unpacker) throws IOException {
        return new StatedLoad(unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackFloat());
    }

    private static LoadEvent unpackRateLimit(MessageUnpacker unpacker) throws IOException {
        String runner = unpacker.unpackString();
        boolean isLimited = unpacker.unpackBoolean();
        double requestsPerSecond = unpacker.unpackDouble();
        return new LoadEvent.RateLimitStated(
                runner, isLimited ? Optional.of(requestsPerSecond) : Optional.empty(), unpacker.unpackLong());
    }

    private static CrashSuspect unpackSuspect(MessageUnpacker unpacker) throws IOException {
        int kind = unpacker.unpackInt();
        return switch (kind) {
            case SUSPECT_PART -> new CrashSuspect.Part(unpacker.unpackLong());
            case SUSPECT_REQUEST -> new CrashSuspect.Request(unpacker.unpackLong());
            default -> throw new MangowallException(FailureCode.FRAME_INVALID, "unknown kind of suspect " + kind);
        };
    }

    private static RunOutcome unpackOutcome(MessageUnpacker unpacker) throws IOException {
        int ordinal = unpacker.unpackInt();
        RunOutcome[] outcomes = RunOutcome.values();
        if (ordinal < 0 || ordinal >= outcomes.length) {
            throw new MangowallException(FailureCode.FRAME_INVALID, "unknown run outcome " + ordinal);
        }
        return outcomes[ordinal];
    }

    private static LoadEvent unpackSent(MessageUnpacker unpacker) throws IOException {
        long number = unpacker.unpackLong();
        String runner = unpacker.unpackString();
        String workspace = unpacker.unpackString();
        return new LoadEvent.Sent(
                number,
                runner,
                workspace.isEmpty() ? Optional.empty() : Optional.of(workspace),
                unpackParts(unpacker),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpacker.unpackLong(),
                unpacker.unpackBoolean() ? Optional.of(unpackOrigin(unpacker)) : Optional.empty());
    }

    private static StreamOrigin unpackOrigin(MessageUnpacker unpacker) throws IOException {
        return new StreamOrigin(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackString());
    }

    private static List<PromptPart> unpackParts(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        List<PromptPart> parts = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            parts.add(new PromptPart(unpacker.unpackLong(), unpacker.unpackInt()));
        }
        return parts;
    }
}
