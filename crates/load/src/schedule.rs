//! When which message is due. Open loop: arrivals are drawn ahead and wait for nothing (Schroeder, Wierman and
//! Harchol-Balter 2006); what is late counts from when it was due, so that a stall hides no one (Tene's coordinated
//! omission). No I/O, the same for the same seed.

use crate::plan::Plan;
use std::time::Duration;

/// A message that is to be handed in.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledMessage {
    /// From the start of the run.
    pub at: Duration,
    /// Its number in the run, from 0.
    pub number: u64,
    /// Which partner.
    pub partner: usize,
    /// A payment, or else an ordered message of this key and turn.
    pub turn: Option<(u64, u64)>,
}

impl ScheduledMessage {
    /// `X-Request-Id`.
    pub fn id(&self) -> String {
        format!("load-{}", self.number)
    }

    /// The class as the site file names it.
    pub fn class(&self) -> &'static str {
        if self.turn.is_some() {
            "update"
        } else {
            "payment"
        }
    }

    /// The key, empty for payments. Keys of different partners differ.
    pub fn key(&self) -> String {
        self.turn.map_or(String::new(), |(key, _)| format!("p{}-{key}", self.partner))
    }

    /// The headers that a call of it has: ordered messages carry a key by which their partner drops repeats, payments
    /// none, so that one that goes twice takes effect twice.
    pub fn headers(&self) -> String {
        self.turn.map_or(String::new(), |_| format!("Idempotency-Key: {}\r\n", self.id()))
    }

    /// A body of so many bytes that names its turn and class for the partners' books.
    pub fn body(&self, bytes: usize) -> String {
        let head = match self.turn {
            Some((_, turn)) => format!("key={};seq={turn};class=update;", self.key()),
            None => "class=payment;".to_string(),
        };
        format!("{head:.<bytes$}")
    }

    /// Which of so many clients hands it in: those of one key come from one, one after another.
    pub fn client(&self, clients: usize) -> usize {
        let spread = self.turn.map_or(self.number, |(key, _)| key * 31 + self.partner as u64);
        (spread % clients.max(1) as u64) as usize
    }
}

/// All messages of a run, in the order in which they are due: a Poisson process.
pub fn schedule(plan: &Plan) -> Vec<ScheduledMessage> {
    let mut random = fastrand::Rng::with_seed(plan.seed);
    let mut turns = vec![0; plan.partners * plan.keys as usize];
    let (mut at, mut all) = (0.0, Vec::new());
    loop {
        at += -(1.0 - random.f64()).ln() / plan.rate;
        if at >= plan.span.as_secs_f64() {
            return all;
        }
        let partner = random.usize(0..plan.partners);
        let turn = (random.f64() >= plan.payments).then(|| {
            let key = random.u64(0..plan.keys);
            let turn = &mut turns[partner * plan.keys as usize + key as usize];
            *turn += 1;
            (key, *turn)
        });
        all.push(ScheduledMessage {
            at: Duration::from_secs_f64(at),
            number: all.len() as u64,
            partner,
            turn,
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::HashMap;

    #[test]
    fn arrivals_keep_the_rate_and_the_same_seed_draws_the_same() {
        let plan = Plan { rate: 1000.0, span: Duration::from_secs(20), ..Plan::default() };
        let all = schedule(&plan);
        assert!((19_000..21_000).contains(&all.len()), "{}", all.len());
        assert!(all.windows(2).all(|w| w[0].at <= w[1].at));
        assert_eq!(all, schedule(&plan));
        assert_ne!(all, schedule(&Plan { seed: 2, ..plan.clone() }));
        let payments = all.iter().filter(|d| d.turn.is_none()).count() as f64 / all.len() as f64;
        assert!((payments - 0.44).abs() < 0.03, "{payments}");
        // Gaps of a Poisson process: their deviation is as large as their mean.
        let gaps: Vec<f64> = all.windows(2).map(|w| (w[1].at - w[0].at).as_secs_f64()).collect();
        let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
        let deviation = (gaps.iter().map(|g| (g - mean).powi(2)).sum::<f64>() / gaps.len() as f64).sqrt();
        assert!((deviation / mean - 1.0).abs() < 0.1, "{deviation} {mean}");
    }

    #[test]
    fn messages_of_a_key_have_turns_in_order_and_one_client() {
        let plan = Plan { rate: 2000.0, keys: 5, ..Plan::default() };
        let mut last: HashMap<String, (u64, usize)> = HashMap::new();
        for due in schedule(&plan).iter().filter(|d| d.turn.is_some()) {
            let (turn, client) = (due.turn.map_or(0, |t| t.1), due.client(16));
            let before = last.insert(due.key(), (turn, client)).unwrap_or((turn - 1, client));
            assert_eq!(before, (turn - 1, client), "{due:?}");
            assert_eq!(due.body(200).len(), 200);
        }
        assert_eq!(last.len(), 10);
    }
}
