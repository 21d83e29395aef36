//! Distribution of requests over services by weight.

/// Smooth weighted round robin: after any number of requests, the count of each
/// service differs by less than one from its share when the weights are fixed.
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
    /// Creates a round robin over services with these weights.
    pub fn new(weights: impl IntoIterator<Item = u32>) -> Self {
        let weights: Vec<_> = weights.into_iter().map(i64::from).collect();
        let credit = vec![0; weights.len()];
        Self { weights, credit }
    }

    /// Returns the index of the service for the next request, or `None` if all weights are
    /// zero.
    pub fn choose(&mut self) -> Option<usize> {
        let total: i64 = self.weights.iter().sum();
        for (credit, weight) in self.credit.iter_mut().zip(&self.weights) {
            *credit += weight;
        }
        let indices = 0..self.weights.len();
        let chosen = indices
            .filter(|&index| self.weights[index] > 0)
            .max_by_key(|&index| (self.credit[index], std::cmp::Reverse(index)))?;
        self.credit[chosen] -= total;
        Some(chosen)
    }
}
