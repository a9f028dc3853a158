package lemondrift.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests reading the settings of a deployment, and rejecting values that cannot be used. */
class SettingsReaderTest {
    private static final String VALID =
            "siblings=3\n"
                    + "zone=0\n"
                    + "limits.mostForwards=5\n"
                    + "invariants.coldFrom=0.3\n"
                    + "invariants.cold=8000\n"
                    + "invariants.fallMultiple=3\n"
                    + "invariants.overloadFor=2000\n"
                    + "serviceGrades.count=1\n"
                    + "serviceGrades.0.benefit=1\n"
                    + "serviceGrades.0.contractTime=350\n"
                    + "serviceGrades.0.expiry=880\n"
                    + "serviceGrades.0.effect=retryable\n";

    @Test
    void endpointWeightsAreUsedOnlyIfTheSettingsSaySo() {
        assertFalse(SettingsReader.read(VALID).usesEndpointWeights());
        for (String weights : "off none live nominal rough".split(" ")) {
            String text = VALID + "weights=" + weights + "\n";
            assertEquals(
                    weights.length() > 4, SettingsReader.read(text).usesEndpointWeights(), weights);
        }
    }

    @Test
    void errorMessageNamesTheInvalidKey() {
        for (String line :
                ("charges.crossZone=NaN charges.crossZone=-0.1 charges.probe=much"
                     + " charges.probe=Infinity weights=heavy membershipMode=sometimes"
                     + " report.how=loudly siblings=0 siblings=-3 zone=2 invariants.coldFrom=1.5"
                     + " invariants.coldFrom=0 limits.probes=2 serviceGrades.0.contractTime=0"
                     + " serviceGrades.0.effect=sometimes serviceGrades.0.group=some")
                        .split(" ")) {
            InvalidSettingsException e =
                    assertThrows(
                            InvalidSettingsException.class,
                            () -> SettingsReader.read(VALID + line + "\n"),
                            line);
            String key = line.substring(0, line.indexOf('='));
            assertTrue(e.getMessage().startsWith("setting " + key + ": "), e.getMessage());
            assertFalse(e.getMessage().contains("\n"));
        }
    }
}
