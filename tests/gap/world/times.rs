//! The times of a generated site and of its trouble.

use proptest::prelude::*;

/// The times of a site, and of its trouble.
#[derive(Debug, Clone)]
pub struct Times {
    pub report: f64,
    pub lease: f64,
    /// Beyond the lease and the margin.
    pub spare: f64,
    /// Life of a leader's lease.
    pub hold: f64,
    /// From the refusal of the leader to the outage for all.
    pub apart: f64,
    /// From the refusal to the cancellation; it is asked for until confirmed.
    pub asked: f64,
    pub outage: f64,
    /// Shares of commands lost, and held for up to `held` seconds.
    pub lost: f64,
    pub held: f64,
    /// Whether the controllers hear each other meanwhile.
    pub peers: bool,
    /// How long a controller and a machine stand still, from some time on.
    pub freeze: f64,
    pub hang: f64,
    /// Whether the controller's steady clock stands still with it.
    pub stops_clock: bool,
    /// Error of the time of day.
    pub clock_error: f64,
}

pub fn any_times() -> impl Strategy<Value = Times> {
    let site = (1.0..8.0f64, 8.0..60.0f64, 0.0..60.0f64, 0.5..6.0f64);
    let trouble = (0.2..14.0f64, -3.0..14.0f64, 5.0..150.0f64);
    // Often enough the new leader reaches no worker at all.
    let lost = prop_oneof![0.0..1.0f64, Just(1.0)];
    let net = (lost, 0.0..90.0f64, any::<bool>());
    let still = (0.0..40.0f64, 0.0..40.0f64, 0.0..1.2f64);
    (site, trouble, net, still).prop_map(
        |(
            (report, lease, spare, hold),
            (apart, asked, outage),
            (lost, held, peers),
            (freeze, hang, clock_error),
        )| Times {
            report: report.min(lease / 3.0),
            lease,
            spare,
            hold,
            apart,
            asked,
            outage,
            lost,
            held,
            peers,
            freeze,
            hang,
            stops_clock: false,
            clock_error,
        },
    )
}
