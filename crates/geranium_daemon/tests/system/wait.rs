//! Waits on conditions.

use std::future::Future;
use std::time::{Duration, Instant};

/// Longest wait for a condition; reached only by a test that fails.
const LIMIT: Duration = Duration::from_secs(40);

/// Time between two looks at a condition.
const INTERVAL: Duration = Duration::from_millis(20);

/// Waits until a condition gives a value.
///
/// # Panics
///
/// Panics if it gives none in time.
pub async fn until<T, F>(what: &str, mut condition: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let start = Instant::now();
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(
            start.elapsed() < LIMIT,
            "no sign of {what} within {} s",
            LIMIT.as_secs()
        );
        tokio::time::sleep(INTERVAL).await;
    }
}
