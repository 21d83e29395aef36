//! Spreads requests over services by weight.

/// Smooth weighted round robin: after any number of requests, the count of each
/// part differs by less than one from its share when the weights are fixed.
///
/// ```
/// use jasminepond_routes::WeightedRoundRobin;
///
/// let mut chooser = WeightedRoundRobin::new([3, 1]);
/// let chosen: Vec<_> = (0..4).filter_map(|_| chooser.choose()).collect();
/// assert_eq!(chosen, [0, 0, 1, 0]);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedRoundRobin {
    weights: Vec<i64>,
    credit: Vec<i64>,
}

impl WeightedRoundRobin {
    /// A chooser for parts with these weights.
    pub fn new(weights: impl IntoIterator<Item = u32>) -> Self {
        let weights: Vec<_> = weights.into_iter().map(i64::from).collect();
        let credit = vec![0; weights.len()];
        Self { weights, credit }
    }

    /// The part for the next request, or `None` if no part has a weight.
    pub fn choose(&mut self) -> Option<usize> {
        let total: i64 = self.weights.iter().sum();
        for (credit, weight) in self.credit.iter_mut().zip(&self.weights) {
            *credit += weight;
        }
        let parts = 0..self.weights.len();
        let chosen = parts
            .filter(|&part| self.weights[part] > 0)
            .max_by_key(|&part| (self.credit[part], std::cmp::Reverse(part)))?;
        self.credit[chosen] -= total;
        Some(chosen)
    }
}
