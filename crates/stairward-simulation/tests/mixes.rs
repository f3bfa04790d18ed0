//! Mixes of faults that follow each other closely. The seeds that once violated an invariant are kept; the pages
//! in docs/incidents/ have their causes.

use stairward_simulation::Mix;

#[test]
fn every_mix_has_its_own_name() {
    for mix in Mix::ALL {
        assert_eq!(Mix::named(mix.name()), Some(mix));
    }
    assert_eq!(Mix::named("none"), None);
}
