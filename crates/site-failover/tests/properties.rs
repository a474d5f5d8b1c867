//! Property tests of load distribution, load shedding, recovery ramps and the backoff after losses.

use chalkdeck_site_failover::distribution::{distribute, SiteCapacity};
use chalkdeck_site_failover::loss_backoff::{LossBackoff, MAX_BACKOFF};
use chalkdeck_site_failover::ramp::{RampStart, RecoveryRamp};
use chalkdeck_site_failover::shedding::OfferedLoadHistogram;
use chalkdeck_time::{TimeDelta, Timestamp};
use proptest::prelude::*;

/// Weights per unit whose base-2 logarithms differ by less than this may count as equal.
const BUCKET_WIDTH: f64 = 0.13;

fn any_site() -> impl Strategy<Value = SiteCapacity> {
    let capacity = prop_oneof![Just(0.0), Just(f64::INFINITY), 0.1..1e4];
    (capacity, 0.0..100.0, any::<bool>()).prop_map(|(capacity, weight, is_own_site)| SiteCapacity {
        capacity,
        weight,
        is_own_site,
    })
}

proptest! {
    #[test]
    fn shares_sum_to_one_and_stay_within_capacities_unless_all_are_full(
        load in 0.0..1e5,
        sites in prop::collection::vec(any_site(), 1..8),
    ) {
        let shares = distribute(load, &sites);
        let sum: f64 = shares.iter().sum();
        prop_assert!((sum - 1.0).abs() < 1e-6, "{shares:?}");
        prop_assert!(shares.iter().all(|share| *share >= 0.0));
        let total: f64 = sites.iter().map(|site| site.capacity).sum();
        if load <= total {
            for (share, site) in shares.iter().zip(&sites) {
                prop_assert!(
                    share * load <= site.capacity * (1.0 + 1e-6) + 1e-9,
                    "{shares:?} of {load} to {site:?}"
                );
            }
        }
    }

    #[test]
    fn higher_admission_never_sheds_more_and_requests_of_high_weight_are_shed_last(
        offered in prop::collection::vec((0.01..1e3f64, 0.1..10.0f64), 1..40),
        admission in 0.0..1.0f64, other_admission in 0.0..1.0f64,
        weight in 0.01..1e3f64, other_weight in 0.01..1e3f64,
    ) {
        let mut histogram = OfferedLoadHistogram::default();
        for (weight, units) in &offered {
            histogram.record(*weight, *units);
        }
        let lower = histogram.threshold(admission.min(other_admission));
        let higher = histogram.threshold(admission.max(other_admission));
        prop_assert!(lower.admitted_fraction(weight) <= higher.admitted_fraction(weight) + 1e-9);
        let (least, most) = (weight.min(other_weight), weight.max(other_weight));
        prop_assert!(lower.admitted_fraction(least) <= lower.admitted_fraction(most) + 1e-9);
        let total: f64 = offered.iter().map(|(_, units)| units).sum();
        let admitted: f64 = offered.iter().map(|(weight, units)| units * higher.admitted_fraction(*weight)).sum();
        // An upper bound of the units in the bucket of `weight`. Only one bucket is admitted in part.
        let units_near = |weight: f64| -> f64 {
            let is_near = |other: f64| (other / weight).log2().abs() < BUCKET_WIDTH;
            offered.iter().filter(|(other, _)| is_near(*other)).map(|(_, units)| units).sum()
        };
        let widest = offered.iter().map(|(weight, _)| units_near(*weight)).fold(0.0, f64::max);
        let expected = total * admission.max(other_admission);
        prop_assert!((admitted - expected).abs() <= widest + 1e-6);
    }

    #[test]
    fn recovery_never_exceeds_what_cold_endpoints_can_serve(
        answers in prop::collection::vec((0.0..1.0f64, 0u64..300_000, 0.05..1.0f64), 1..300), seed: u64,
    ) {
        let mut now = Timestamp::ZERO;
        let mut ramp = RecoveryRamp::new(now, seed, RampStart::Cold);
        for (congestion, elapsed, sustainable) in answers {
            let before = ramp.fraction();
            now = now + TimeDelta::from_micros(elapsed);
            ramp.record_attempt(now, congestion);
            ramp.advance(now, sustainable);
            prop_assert!(ramp.fraction() <= sustainable && ramp.fraction() <= before * 1.6 + 1e-9);
        }
    }

    #[test]
    fn losses_are_never_closer_than_the_backoff_allows(gaps in prop::collection::vec(0u64..5_000_000, 1..40)) {
        let mut backoff = LossBackoff::default();
        let mut now = Timestamp::ZERO;
        let mut losses = 0u32;
        for gap in &gaps {
            now = backoff.until() + TimeDelta::from_micros(*gap);
            backoff.record_loss(now);
            losses += 1;
            prop_assert!(backoff.until() - now <= MAX_BACKOFF);
        }
        // The backoff doubles from 1 to 32 seconds and stays there.
        let least_seconds: u64 = (1..losses).map(|loss| 1 << (loss - 1).min(5)).sum();
        prop_assert!(now - Timestamp::ZERO >= TimeDelta::from_secs(least_seconds));
    }
}
