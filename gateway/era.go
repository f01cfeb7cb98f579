package gateway

// noteEra records that the store is, or has been, in an era. In a new one, all state is read again and this host's record is written
// again, by the loops that find that their position or their record is of an earlier era.
func (g *Gateway) noteEra(era uint64) {
	for {
		before := g.storeEra.Load()
		if era <= before {
			return
		}
		if g.storeEra.CompareAndSwap(before, era) {
			g.node.SetStoreEra(era)
			g.logger.Warn().Str("event", "store_era").Uint64("era", era).Uint64("before", before).Send()
			notify(g.rereadConfiguration)
			return
		}
	}
}

// noteSourceEra records the newest era that the source of the records has seen.
func (g *Gateway) noteSourceEra() {
	if source, ok := g.options.Hosts.(eraSource); ok {
		g.noteEra(source.StoreEra())
	}
}
