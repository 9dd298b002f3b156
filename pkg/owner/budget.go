package owner

// askBudget gets a load permit and calls granted once there is one.
func (s *Service) askBudget(_ AskBudget, granted func()) {
	go granted()
}

// returnBudget gives a permit back.
func (s *Service) returnBudget(ReturnBudget) {}
