//! Computes when each message is due. Arrivals are an open loop: they are drawn in advance and do not depend on progress
//! (Schroeder, Wierman and Harchol-Balter 2006). Latency counts from the time at which a message was due, so that a stall
//! does not hide the messages delayed by it (Tene's coordinated omission). No I/O; deterministic for a seed.

use crate::plan::Plan;
use std::time::Duration;

/// A message of a schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledMessage {
    /// When it is due, from the start of the run.
    pub at: Duration,
    /// Its number in the run, from 0.
    pub number: u64,
    /// Index of its partner.
    pub partner: usize,
    /// The order key and the position within the key, from 1; none for a payment.
    pub position: Option<(u64, u64)>,
}

impl ScheduledMessage {
    /// The value of `X-Request-Id`.
    pub fn id(&self) -> String {
        format!("load-{}", self.number)
    }

    /// The name of its class in the site file.
    pub fn class(&self) -> &'static str {
        if self.position.is_some() {
            "update"
        } else {
            "payment"
        }
    }

    /// The order key, empty for payments. Keys of different partners differ.
    pub fn key(&self) -> String {
        self.position.map_or(String::new(), |(key, _)| format!("p{}-{key}", self.partner))
    }

    /// The headers of a call. Ordered messages carry an idempotency key by which their partner drops repeats. Payments
    /// carry none, so that a payment that is sent twice takes effect twice.
    pub fn headers(&self) -> String {
        self.position.map_or(String::new(), |_| format!("Idempotency-Key: {}\r\n", self.id()))
    }

    /// A body, padded to a number of bytes, that states position and class for the partners' call records.
    pub fn body(&self, bytes: usize) -> String {
        let head = match self.position {
            Some((_, position)) => format!("key={};seq={position};class=update;", self.key()),
            None => "class=payment;".to_string(),
        };
        format!("{head:.<bytes$}")
    }

    /// Index of the client that submits it. Messages with the same key have the same client, which submits them one after
    /// another.
    pub fn client(&self, clients: usize) -> usize {
        let hash = self.position.map_or(self.number, |(key, _)| key * 31 + self.partner as u64);
        (hash % clients.max(1) as u64) as usize
    }
}

/// All messages of a run, in the order in which they are due. Arrivals are a Poisson process.
pub fn schedule(plan: &Plan) -> Vec<ScheduledMessage> {
    let mut random = fastrand::Rng::with_seed(plan.seed);
    let mut last_positions = vec![0; plan.partners * plan.keys as usize];
    let mut at = 0.0;
    let mut all = Vec::new();
    loop {
        at += -(1.0 - random.f64()).ln() / plan.rate;
        if at >= plan.span.as_secs_f64() {
            return all;
        }
        let partner = random.usize(0..plan.partners);
        let position = (random.f64() >= plan.payments).then(|| {
            let key = random.u64(0..plan.keys);
            let last_position = &mut last_positions[partner * plan.keys as usize + key as usize];
            *last_position += 1;
            (key, *last_position)
        });
        all.push(ScheduledMessage {
            at: Duration::from_secs_f64(at),
            number: all.len() as u64,
            partner,
            position,
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::HashMap;

    #[test]
    fn arrivals_have_the_rate_and_are_deterministic() {
        let plan = Plan { rate: 1000.0, span: Duration::from_secs(20), ..Plan::default() };
        let all = schedule(&plan);
        assert!((19_000..21_000).contains(&all.len()), "{}", all.len());
        assert!(all.windows(2).all(|w| w[0].at <= w[1].at));
        assert_eq!(all, schedule(&plan));
        assert_ne!(all, schedule(&Plan { seed: 2, ..plan.clone() }));
        let payments = all.iter().filter(|d| d.position.is_none()).count() as f64 / all.len() as f64;
        assert!((payments - 0.44).abs() < 0.03, "{payments}");
        // In a Poisson process the standard deviation of the gaps equals their mean.
        let gaps: Vec<f64> = all.windows(2).map(|w| (w[1].at - w[0].at).as_secs_f64()).collect();
        let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
        let deviation = (gaps.iter().map(|g| (g - mean).powi(2)).sum::<f64>() / gaps.len() as f64).sqrt();
        assert!((deviation / mean - 1.0).abs() < 0.1, "{deviation} {mean}");
    }

    #[test]
    fn messages_of_a_key_are_numbered_in_order_and_have_one_client() {
        let plan = Plan { rate: 2000.0, keys: 5, ..Plan::default() };
        let mut last: HashMap<String, (u64, usize)> = HashMap::new();
        for due in schedule(&plan).iter().filter(|d| d.position.is_some()) {
            let (position, client) = (due.position.map_or(0, |p| p.1), due.client(16));
            let before = last.insert(due.key(), (position, client)).unwrap_or((position - 1, client));
            assert_eq!(before, (position - 1, client), "{due:?}");
            assert_eq!(due.body(200).len(), 200);
        }
        assert_eq!(last.len(), 10);
    }
}
