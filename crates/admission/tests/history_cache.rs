//! The cache of client histories. Its module is private, so this test includes the source files.

#[allow(dead_code)]
#[path = "../src/decaying_score.rs"]
mod decaying_score;
#[allow(dead_code, unreachable_pub)]
#[path = "../src/gcra.rs"]
mod gcra;
#[allow(dead_code)]
#[path = "../src/history_cache.rs"]
mod history_cache;
#[allow(dead_code)]
#[path = "../src/linked_lists.rs"]
mod linked_lists;

use decaying_score::DecayingScore;
use history_cache::HistoryCache;
use std::time::Duration;

const HOUR: Duration = Duration::from_secs(3600);

#[test]
fn a_flood_of_new_keys_evicts_new_keys_and_no_known_key() {
    let mut cache = HistoryCache::new(1000, (1, 2));
    for key in 0..500u64 {
        let index = cache.find_or_insert(key);
        cache.get_mut(index).served.add(5.0, HOUR, HOUR);
        cache.assign_segment(index, true);
    }
    for key in 1_000..101_000 {
        let index = cache.find_or_insert(key);
        cache.assign_segment(index, false);
    }
    assert_eq!(cache.len(), 1000);
    assert!((0..500).all(|key| cache.find(&key).is_some()));
    assert!(cache.find(&100_999).is_some() && cache.find(&1_000).is_none());
}

#[test]
fn a_key_with_an_open_connection_is_not_evicted_and_the_cache_is_bounded() {
    let mut cache = HistoryCache::new(4, (3, 4));
    let indexes: Vec<u32> = (0..10u64).map(|key| cache.find_or_insert(key)).collect();
    assert_eq!(cache.len(), 4);
    let last = *indexes.last().unwrap();
    cache.connection_opened(last);
    for key in 100..200 {
        cache.find_or_insert(key);
    }
    assert_eq!((cache.find(&9), cache.len()), (Some(last), 4));
    cache.connection_closed(last, false);
    cache.resize(0);
    assert_eq!(cache.len(), 0);
}

#[test]
fn a_score_halves_with_every_half_life() {
    let mut score = DecayingScore::new(8.0, HOUR);
    assert!((score.at(HOUR * 3, HOUR) - 2.0).abs() < 0.01);
    score.add(1.0, HOUR * 4, HOUR);
    assert!((score.at(HOUR * 4, HOUR) - 2.0).abs() < 0.01);
}
