package platformserver

import (
	"encoding/xml"
	"errors"
	"io"
	"net/http"
	"net/url"

	"github.com/gorilla/mux"

	"github.com/bronzeyard/bronzeyard/storage"
)

type s3Error struct {
	XMLName xml.Name `xml:"Error"`
	Code    string   `xml:"Code"`
	Message string   `xml:"Message"`
}

func writeS3Error(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_ = xml.NewEncoder(w).Encode(s3Error{Code: code, Message: message})
}

// objectName returns bucket and key, because the object store has no buckets of its own.
func objectName(r *http.Request) string {
	variables := mux.Vars(r)
	key, err := url.PathUnescape(variables["key"])
	if err != nil {
		key = variables["key"]
	}
	return variables["bucket"] + "/" + key
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	data, err := s.Objects.Get(r.Context(), objectName(r))
	switch {
	case errors.Is(err, storage.ErrNotFound):
		writeS3Error(w, http.StatusNotFound, "NoSuchKey", "The specified key does not exist.")
	case err != nil:
		writeS3Error(w, http.StatusServiceUnavailable, "ServiceUnavailable", err.Error())
	default:
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(data)
	}
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Content-Encoding") == "aws-chunked" {
		writeS3Error(w, http.StatusNotImplemented, "NotImplemented", "chunked signatures are not supported")
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		writeS3Error(w, http.StatusBadRequest, "IncompleteBody", err.Error())
		return
	}
	if err := s.Objects.Put(r.Context(), objectName(r), data); err != nil {
		writeS3Error(w, http.StatusServiceUnavailable, "ServiceUnavailable", err.Error())
		return
	}
	w.WriteHeader(http.StatusOK)
}
