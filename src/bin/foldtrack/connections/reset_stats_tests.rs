use super::*;

#[test]
fn idle_times_with_resets_are_learned_and_forgotten() {
    let mut reset_stats = ResetStats::default();
    let (short, long) = (Duration::from_millis(20), Duration::from_millis(200));
    for n in 0..40 {
        // Resets at the same rate on all connections are unrelated to idle time.
        reset_stats.record(None, n % 10 == 0);
        reset_stats.record(Some(short), n % 10 == 0);
    }
    assert!(reset_stats.is_safe(short) && reset_stats.is_safe(long));
    for n in 0..8 {
        reset_stats.record(Some(long), n % 3 == 0);
    }
    assert!(!reset_stats.is_safe(long) && reset_stats.is_safe(short));
    (0..120).for_each(|_| reset_stats.decay());
    assert!(reset_stats.is_safe(long), "it is never tried again");
}
