//! Round-robin batches over a list.

/// Position of the next batch.
#[derive(Debug, Default)]
pub struct Rotation {
    next_index: usize,
}

impl Rotation {
    /// Creates a rotation whose first batch is at the start of the list.
    pub fn new() -> Rotation {
        Rotation::default()
    }

    /// Returns the next `limit` items and wraps around at the end of the list; all items where the list has
    /// fewer.
    pub fn next_batch<T: Clone>(&mut self, items: &[T], limit: usize) -> Vec<T> {
        let count = limit.min(items.len());
        let first = self.next_index.checked_rem(items.len()).unwrap_or(0);
        self.next_index = first + count;
        items.iter().cycle().skip(first).take(count).cloned().collect()
    }
}
