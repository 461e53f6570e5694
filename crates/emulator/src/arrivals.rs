//! Messages as they come: at random, in clumps for one partner, unevenly over the forwarders.

use crate::world::{TroubleKind, World};
use crate::{Micros, SECOND};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, StandardNormal};

/// A message before anybody has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    pub at: Micros,
    pub forwarder: usize,
    pub class: usize,
    pub partner: usize,
    pub key: u64,
}

/// Draws one of several by their weights.
pub fn draw(random: &mut SmallRng, sums: &[f64]) -> usize {
    let at = random.random::<f64>() * sums.last().copied().unwrap_or(1.0);
    sums.partition_point(|sum| *sum <= at).min(sums.len().saturating_sub(1))
}

fn sums(weights: impl Iterator<Item = f64>) -> Vec<f64> {
    weights
        .scan(0.0, |sum, weight| {
            *sum += weight;
            Some(*sum)
        })
        .collect()
}

/// Who gets how much, as sums of weights.
pub fn parts(world: &World, random: &mut SmallRng) -> Vec<f64> {
    let uneven = world.traffic.uneven;
    let mut weight = || {
        let normal: f64 = StandardNormal.sample(random);
        (uneven * normal).exp()
    };
    sums((0..world.fleet.forwarders).map(|_| weight()))
}

/// All messages of a play, in the order in which they come.
pub fn coming(world: &World, parts: &[f64], random: &mut SmallRng) -> Vec<Arrival> {
    let traffic = &world.traffic;
    let classes = world.classes();
    let shares = sums(classes.iter().map(|c| c.share));
    let partners = sums(world.partners.iter().map(|p| p.share));
    let mut all = Vec::new();
    let mut one = |random: &mut SmallRng, at: Micros, partner: usize| {
        let class = draw(random, &shares);
        let key = if classes[class].in_order { 1 + random.random_range(0..traffic.keys.max(1)) } else { 0 };
        let forwarder = match key {
            0 => draw(random, parts),
            // Those of one key come to one forwarder.
            key => draw(&mut SmallRng::seed_from_u64(key), parts),
        };
        all.push(Arrival { at, forwarder, class, partner, key });
    };
    let most =
        world.troubles.iter().filter(|t| t.what == TroubleKind::Burst).map(|t| t.times).fold(1.0, f64::max);
    let even = traffic.rate * (1.0 - traffic.clumps) * most;
    for at in arrivals(random, even, world.fleet.lasts) {
        // What is beyond the rate of the moment is left out.
        let times = world.trouble(at, TroubleKind::Burst, "").unwrap_or(1.0);
        if random.random::<f64>() * most < times {
            let partner = draw(random, &partners);
            one(random, at, partner);
        }
    }
    for (place, partner) in world.partners.iter().enumerate() {
        let part = partner.share / partners.last().copied().unwrap_or(1.0);
        let takes = if partner.limit > 0.0 { partner.limit } else { traffic.rate * part };
        let size = (takes * traffic.clump as f64 / 1e6).max(1.0);
        let clumps = traffic.rate * part * traffic.clumps / size;
        for at in arrivals(random, clumps, world.fleet.lasts) {
            for _ in 0..size as u64 {
                let at = at + random.random_range(0..=traffic.clump_within);
                one(random, at.min(world.fleet.lasts), place);
            }
        }
    }
    all.sort_by_key(|c| c.at);
    all
}

/// Points in time at a rate, at random (Poisson).
fn arrivals(random: &mut SmallRng, rate: f64, until: Micros) -> Vec<Micros> {
    let Ok(pause) = Exp::new(rate / SECOND as f64) else { return Vec::new() };
    if rate <= 0.0 {
        return Vec::new();
    }
    let (mut at, mut all) = (0.0, Vec::new());
    loop {
        at += pause.sample(random);
        if at >= until as f64 {
            return all;
        }
        all.push(at as Micros);
    }
}
