//! The arrival process: Poisson arrivals, clumps for one partner, and an uneven distribution over the forwarders.

use crate::world::{TroubleKind, World};
use crate::{Micros, SECOND};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, StandardNormal};

/// A message that a client is going to submit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    pub at: Micros,
    /// Index of the forwarder that receives it first.
    pub forwarder: usize,
    pub class: usize,
    pub partner: usize,
    /// Order key, 0 for none.
    pub key: u64,
}

/// Draws an index at random, given the cumulative sums of the weights.
pub fn draw(random: &mut SmallRng, cumulative: &[f64]) -> usize {
    let at = random.random::<f64>() * cumulative.last().copied().unwrap_or(1.0);
    cumulative.partition_point(|sum| *sum <= at).min(cumulative.len().saturating_sub(1))
}

/// Cumulative sums of weights.
fn cumulative_sums(weights: impl Iterator<Item = f64>) -> Vec<f64> {
    weights
        .scan(0.0, |sum, weight| {
            *sum += weight;
            Some(*sum)
        })
        .collect()
}

/// Draws each forwarder's weight (log-normal) and returns the cumulative sums.
pub fn forwarder_weights(world: &World, random: &mut SmallRng) -> Vec<f64> {
    let uneven = world.traffic.uneven;
    let mut weight = || {
        let normal: f64 = StandardNormal.sample(random);
        (uneven * normal).exp()
    };
    cumulative_sums((0..world.fleet.forwarders).map(|_| weight()))
}

/// All messages of a simulation, in the order of arrival. `weights` are the cumulative weights of the forwarders.
pub fn arrivals(world: &World, weights: &[f64], random: &mut SmallRng) -> Vec<Arrival> {
    let traffic = &world.traffic;
    let classes = world.classes();
    let shares = cumulative_sums(classes.iter().map(|c| c.share));
    let partners = cumulative_sums(world.partners.iter().map(|p| p.share));
    let mut all = Vec::new();
    let mut add = |random: &mut SmallRng, at: Micros, partner: usize| {
        let class = draw(random, &shares);
        let key = if classes[class].in_order { 1 + random.random_range(0..traffic.keys.max(1)) } else { 0 };
        let forwarder = match key {
            0 => draw(random, weights),
            // Messages with the same key go to the same forwarder.
            key => draw(&mut SmallRng::seed_from_u64(key), weights),
        };
        all.push(Arrival { at, forwarder, class, partner, key });
    };
    let max_factor =
        world.troubles.iter().filter(|t| t.what == TroubleKind::Burst).map(|t| t.times).fold(1.0, f64::max);
    let even_rate = traffic.rate * (1.0 - traffic.clumps) * max_factor;
    for at in poisson_times(random, even_rate, world.fleet.lasts) {
        // Thinning: arrivals are drawn at the highest rate and dropped in proportion to the current one.
        let factor = world.trouble(at, TroubleKind::Burst, "").unwrap_or(1.0);
        if random.random::<f64>() * max_factor < factor {
            let partner = draw(random, &partners);
            add(random, at, partner);
        }
    }
    for (index, partner) in world.partners.iter().enumerate() {
        let share = partner.share / partners.last().copied().unwrap_or(1.0);
        let clump_rate = if partner.limit > 0.0 { partner.limit } else { traffic.rate * share };
        let size = (clump_rate * traffic.clump as f64 / 1e6).max(1.0);
        let clumps_per_second = traffic.rate * share * traffic.clumps / size;
        for at in poisson_times(random, clumps_per_second, world.fleet.lasts) {
            for _ in 0..size as u64 {
                let at = at + random.random_range(0..=traffic.clump_within);
                add(random, at.min(world.fleet.lasts), index);
            }
        }
    }
    all.sort_by_key(|c| c.at);
    all
}

/// Times of a Poisson process with a rate per second, up to `until`.
fn poisson_times(random: &mut SmallRng, rate: f64, until: Micros) -> Vec<Micros> {
    let Ok(gap) = Exp::new(rate / SECOND as f64) else { return Vec::new() };
    if rate <= 0.0 {
        return Vec::new();
    }
    let (mut at, mut all) = (0.0, Vec::new());
    loop {
        at += gap.sample(random);
        if at >= until as f64 {
            return all;
        }
        all.push(at as Micros);
    }
}
