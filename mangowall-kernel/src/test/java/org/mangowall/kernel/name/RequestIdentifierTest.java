package org.mangowall.kernel.name;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

class RequestIdentifierTest {

    @Property(seed = "17")
    void parseReversesToString(
            @ForAll @LongRange(min = 0) long incarnation, @ForAll @LongRange(min = 0) long sequence) {
        RequestIdentifier identifier = new RequestIdentifier(new RouterName("router-1"), incarnation, sequence);
        assertEquals(identifier, RequestIdentifier.parse(identifier.toString()));
    }

    @Test
    void parseRefusesTextThatIsNotAnIdentifier() {
        MangowallException failure =
                assertThrows(MangowallException.class, () -> RequestIdentifier.parse("router-1~x~?"));
        assertEquals(FailureCode.INVALID_NAME, failure.failureCode());
    }
}
