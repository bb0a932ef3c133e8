package org.foxtailmoor.scenarios.catalogue;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.List;
import org.foxtailmoor.catalogue.CatalogueChecker;
import org.foxtailmoor.catalogue.CatalogueFault;
import org.foxtailmoor.catalogue.CatalogueReader;
import org.foxtailmoor.catalogue.CatalogueReading;

/** Steps about the check of a catalogue before its publication. */
public final class CatalogueCheckSteps {
    private final List<CatalogueFault> mFaults = new ArrayList<>();
    private CatalogueReading mReading;

    @Given("the catalogue")
    public void theCatalogue(String text) {
        mReading = CatalogueReader.read("catalogue.toml", text);
    }

    @When("the catalogue is checked")
    public void theCatalogueIsChecked() {
        mFaults.addAll(mReading.faults());
        mFaults.addAll(CatalogueChecker.check(mReading.entries()));
    }

    @Then("a fault of {string} mentions {string}")
    public void aFaultMentions(String id, String text) {
        assertThat(mFaults)
                .anySatisfy(
                        fault -> {
                            assertThat(fault.id()).isEqualTo(id);
                            assertThat(fault.toString()).contains(text);
                        });
    }
}
